#pragma once

#include <AK/Clock.h>
#include <LibSettings/Revision.h>
#include <LibSettings/SiteDocument.h>
#include <map>
#include <memory>
#include <string>

namespace LibConfiguration
{

/// Keeps work away from a failure domain or an upstream; given while the object API is unreachable. Exactly one of the two names is set.
struct Restriction {
    std::string id;
    std::string failureDomain;
    std::string upstream;
    std::string author;
    std::string reason;
    /// Wall time in ms.
    AK::Milliseconds expiresAt = 0;
};

/// The configuration that a process acts on. Immutable once published.
struct Configuration {
    LibSettings::Revision revision;
    LibSettings::SiteDocument site;
    std::map<std::string, Restriction> restrictions;
};

/// Whether an upstream may receive new work: in service by the document and not restricted at the given wall time.
bool upstreamAllowed(const Configuration &configuration, const std::string &upstream, AK::Milliseconds wallTime);

/// Whether a failure domain may receive new work.
bool failureDomainAllowed(const Configuration &configuration, const std::string &failureDomain, AK::Milliseconds wallTime);

/// The configuration in force. Thread-safe.
class ConfigurationView
{
public:
    virtual ~ConfigurationView() = default;

    /// The configuration in force; nullptr before the first revision has arrived. Never goes back to a smaller revision.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Blocks until current() differs from `seen` or `timeout` ms are over; returns current().
    virtual std::shared_ptr<const Configuration> waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const = 0;
};

} // namespace LibConfiguration
