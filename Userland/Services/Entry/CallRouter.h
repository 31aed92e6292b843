#pragma once

#include <LibLog/Logger.h>
#include <LibMembership/MembershipView.h>
#include <Services/Entry/CallAttempt.h>
#include <Services/Entry/RoutingMemory.h>

namespace Entry
{

/// Finds an upstream for a call and tries others where the rules of retries allow it. Thread-safe.
class CallRouter
{
public:
    CallRouter(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
               LibMembership::MembershipView &membership, RoutingMemory &memory, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    /// Blocks until the call is answered, refused or past its deadline. `responseHeaders` are those that a stream starts with.
    RouteResult route(EntryCall &call, CallerAnswer &answer, const LibHttp::HttpHeaders &responseHeaders);

private:
    struct Progress;

    std::optional<LibRouting::Candidate> nextCandidate(EntryCall &call, Progress &progress);
    bool tryAnother(const EntryCall &call, const LibRouting::Candidate &candidate, const AttemptResult &attempt, const CallerAnswer &answer,
                    Progress &progress);
    RouteResult giveUp(const EntryCall &call, const Progress &progress) const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibMembership::MembershipView &membership;
    RoutingMemory &memory;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"entry"};
};

} // namespace Entry
