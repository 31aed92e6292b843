#pragma once

#include <AK/Clock.h>
#include <LibSettings/Revision.h>
#include <LibSettings/SiteDocument.h>
#include <map>
#include <memory>
#include <string>

namespace LibConfiguration
{

/// Emergency restriction that keeps new work away from a failure domain or an upstream; operators set it while the object API is unreachable. Exactly one of
/// `failureDomain` and `upstream` is set.
struct Restriction {
    std::string id;
    std::string failureDomain;
    std::string upstream;
    std::string author;
    std::string reason;
    /// Wall-clock time in ms.
    AK::Milliseconds expiresAt = 0;
};

/// The configuration that a process uses. Immutable once published.
struct Configuration {
    LibSettings::Revision revision;
    LibSettings::SiteDocument site;
    std::map<std::string, Restriction> restrictions;
};

/// Whether an upstream may receive new work: the site document has it and its failure domain in service, and no restriction
/// covers either at the given wall-clock time.
bool upstreamAllowed(const Configuration &configuration, const std::string &upstream, AK::Milliseconds wallTime);

/// Whether a failure domain may receive new work at the given wall-clock time.
bool failureDomainAllowed(const Configuration &configuration, const std::string &failureDomain, AK::Milliseconds wallTime);

/// Read access to the configuration in force. Thread-safe.
class ConfigurationView
{
public:
    virtual ~ConfigurationView() = default;

    /// The configuration in force; nullptr before the first revision has arrived. The revision number never decreases.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Blocks until current() differs from `seen` or `timeout` ms have passed; returns current().
    virtual std::shared_ptr<const Configuration> waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const = 0;
};

} // namespace LibConfiguration
