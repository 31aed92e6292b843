#pragma once

#include <AK/Random.h>
#include <Gateway/Dispatcher.h>
#include <memory>
#include <vector>

/// Entries and upstreams in one process, on the system clock. The entries are the dispatchers of the product; callers, upstreams and the way between them are
/// emulated. Half of the upstreams refuse all calls from time to time, with a pause for the rest of that time; their calls arrive as if by many callers, who do
/// not come back after a refusal.
class PausingSite
{
public:
    static constexpr int entryCount = 4;
    static constexpr int upstreamCount = 4;

    /// Calls per second of all upstreams, and of those that never pause.
    static double capacityPerSecond();
    static double unpausedCapacityPerSecond();

    struct Result {
        int calls = 0;
        /// Served before the end of the run, and those of them within the target latency.
        int served = 0;
        int servedInTime = 0;
        /// From the arrival of a call, in ms.
        std::vector<double> timesToRefusal;
        int refusedByUpstreams = 0;
        /// Requests that arrived later than half a second after a refusal and before the end of its pause, at the same entry.
        int insidePauses = 0;
        /// Those of them beyond two in a pause.
        int beyondRule = 0;
        int mostInsideAPause = 0;
    };

    /// `tellPauses`: the entries learn of the pauses; otherwise they see plain refusals.
    PausingSite(uint64_t seed, LibFleet::RouteKind kind, bool tellPauses);
    KJ_DISALLOW_COPY(PausingSite);

    Result run(double callsPerSecond, AK::Milliseconds duration);

private:
    struct Refusal {
        AK::Milliseconds at = 0;
        AK::Milliseconds pause = 0;
    };

    /// What one upstream has seen of one entry.
    struct Contact {
        std::vector<AK::Milliseconds> arrivals;
        std::vector<Refusal> refusals;
    };

    struct Upstream {
        bool pauses = false;
        /// Of its own, so that its pauses are the same in all runs with the same seed.
        AK::Random random;
        bool refusing = false;
        AK::Milliseconds phaseEnds = 0;
        int running = 0;
        std::array<Contact, entryCount> contacts;
    };

    enum class Attempt { Served, Refused, Withheld };

    void call(kj::WaitScope &scope, size_t entry);
    Attempt attempt(kj::WaitScope &scope, size_t entry, const Gateway::Grant &grant, const Gateway::CallRequirements &requirements);
    /// Time for which the upstream refuses calls from now on, 0 when it takes them.
    static AK::Milliseconds pauseOf(Upstream &upstream, AK::Milliseconds now);
    void countInsidePauses(const Contact &contact);

    bool tellPauses;
    AK::Random random;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet;
    std::vector<std::unique_ptr<Gateway::Dispatcher>> entries;
    std::array<Upstream, upstreamCount> upstreams;
    Result result;
    AK::Milliseconds endsAt = 0;
    int open = 0;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};
