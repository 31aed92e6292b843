#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <map>
#include <optional>
#include <string>

namespace LibConfiguration
{

/// The first service that has an upstream for new work before a change and none after it, or nothing. A restricted upstream counts as out of service unless
/// the new document settles the restriction.
std::optional<std::string> serviceLeftWithoutUpstream(const Configuration &before, const LibSettings::SiteDocument &after, AK::Milliseconds wallTime);

} // namespace LibConfiguration
