#pragma once

#include <LibLog/Logger.h>
#include <LibMembership/MembershipView.h>
#include <Services/Entry/CallAttempt.h>
#include <Services/Entry/RoutingState.h>

namespace Entry
{

/// Selects an upstream for a call and tries others where the retry rules allow it. Thread-safe.
class CallRouter
{
public:
    CallRouter(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
               LibMembership::MembershipView &membership, RoutingState &routingState, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    /// Blocks until the call is answered, refused or past its deadline. `responseHeaders` are added to the head of a stream.
    RouteResult route(EntryCall &call, CallerResponse &callerResponse, const LibHttp::HttpHeaders &responseHeaders);

private:
    struct Progress;

    std::optional<LibRouting::Candidate> nextCandidate(EntryCall &call, Progress &progress);
    bool handleFailedAttempt(const EntryCall &call, const LibRouting::Candidate &candidate, const AttemptResult &attempt, const CallerResponse &callerResponse,
                             Progress &progress);
    RouteResult failureResult(const EntryCall &call, const Progress &progress) const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibMembership::MembershipView &membership;
    RoutingState &routingState;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"entry"};
};

} // namespace Entry
