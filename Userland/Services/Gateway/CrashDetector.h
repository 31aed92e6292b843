#pragma once

#include <LibFiber/Loop.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/CrashEvidence.h>
#include <LibMetrics/MetricRegistry.h>
#include <functional>
#include <map>

namespace Gateway
{

/// Tells the crash of an upstream from a broken connection: after a crash the calls of all connections break off, and the upstream accepts no new ones.
class CrashDetector
{
public:
    using Observer = std::function<void(const LibGateway::Crash &)>;

    CrashDetector(LibFiber::Loop &loop, LibMetrics::MetricRegistry &metrics);

    /// Sets the function that is called for each crash that broke off calls of this entry.
    void onCrash(Observer observer);

    /// Records that the connection of a call has ended before its response. `suspect`: the call may be the cause of a crash.
    void recordBrokenCall(const LibFleet::UpstreamRecord &upstream, std::optional<LibGateway::CrashSuspect> suspect);

private:
    struct BrokenCalls {
        AK::Milliseconds since = 0;
        int count = 0;
        std::vector<LibGateway::CrashSuspect> suspects;
    };

    /// Waits for the other calls of the upstream to break off, then tries to connect.
    void examine(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream);

    LibFiber::Loop &loop;
    LibMetrics::MetricRegistry &metrics;
    Observer observer;
    /// By upstream id.
    std::map<std::string, BrokenCalls> brokenCalls;
    LibLog::Logger logger{"crashes"};
};

} // namespace Gateway
