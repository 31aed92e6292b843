#pragma once

#include <LibSettings/SiteDocument.h>

namespace LibSettings
{

/// Whether an entry accepts this method in a call to a plain service.
bool isPlainCallMethod(std::string_view method);

/// Whether an upstream could interpret the decoded path as another one, because of empty segments, dot segments or path parameters. Entries refuse such calls.
bool isAmbiguousPath(const std::string &path);

/// The route that decides whether a call is repeatable: the longest matching one, the first of equally long ones. nullptr when no route matches.
const Route *routeFor(const ServiceSpec &service, const std::string &method, const std::string &path);

} // namespace LibSettings
