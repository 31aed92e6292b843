#pragma once

#include "Grant.h"
#include "PlaceClient.h"
#include "UpstreamTable.h"

#include <AK/Random.h>
#include <LibFiber/Loop.h>
#include <LibGateway/RetryBudget.h>
#include <list>
#include <map>
#include <memory>

namespace Gateway
{

/// Bounds that all upstream choices of an entry keep; from the deployment's settings.
struct DispatchSettings {
    TableSettings upstreams;
    LibGateway::RetryBudgetSettings retries;
    LibGateway::WaitingSettings waiting;
};

/// Why a call got no upstream.
enum class RefusalReason { NoUpstream, QueueTooLong, WaitedTooLong };

inline constexpr std::array refusalReasonNames{
    AK::EnumName{RefusalReason::NoUpstream, "no_upstream"},
    AK::EnumName{RefusalReason::QueueTooLong, "queue_too_long"},
    AK::EnumName{RefusalReason::WaitedTooLong, "waited_too_long"},
};

struct GrantOrRefusal {
    kj::Maybe<kj::Own<Grant>> grant;
    RefusalReason reason = RefusalReason::NoUpstream;
    /// When a refused client should come back, in ms.
    AK::Milliseconds retryAfter = 0;
};

/// Gives calls places at upstreams. Calls wait in order of urgency and arrival while every upstream is full, and are refused as soon as it is known that
/// they can't start in time. Each engine is owned by one entry, which knows all calls there and gives places to the others. Load pattern: with many entries
/// most calls would go to engines of which their entry sees a small part of the calls, and prompts would meet there.
class Dispatcher final : public LibPeers::SlotProvider
{
public:
    /// `places` is nullptr for an entry that owns all upstreams.
    Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, PlaceSource *places);

    /// Takes over changed bounds; what was counted so far still counts.
    void setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds weightsSwitchDelay);

    /// Regions by failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// Counts a call of a client; it earns retry budget.
    void countCall(const std::string &service);

    /// Fills in how long a call may wait and in which order. `patience` is what its client waits in all, in ms.
    void arrangeWaiting(Demand &demand, const LibFleet::Route &route, AK::Milliseconds patience);

    /// Waits for a place. The first send of a call needs no budget; later ones are paid with mayRepeat().
    GrantOrRefusal acquire(kj::WaitScope &scope, const Demand &demand);

    kj::Maybe<LibPeers::OfferedSlot> offerSlot(const LibPeers::SlotRequest &request) override;

    /// Spends retry budget for another send of a call.
    bool mayRepeat(const std::string &service);

    void countOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    void countAnswer(const LibFleet::UpstreamRecord &upstream, int running, int waiting);
    void recordReport(const LibPeers::EngineReport &report);

    /// The entries that share the upstreams now, this one among them.
    void setEntries(std::vector<LibGateway::EntryLocation> entries);

    /// Calls waiting and in flight, for metrics and logs.
    size_t waitingCalls() const;
    int callsInFlight() const;

private:
    friend class Grant;

    struct Waiter {
        const Demand *demand = nullptr;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        kj::Maybe<kj::Own<Grant>> grant;
    };

    struct Line {
        explicit Line(const LibGateway::RetryBudgetSettings &settings)
            : budget(settings)
        {
        }
        std::list<Waiter *> waiters;
        LibGateway::RetryBudget budget;
        LibGateway::LinePace pace;
        bool wakeScheduled = false;
    };

    enum class Availability { None, Full, Granted };

    /// Upstreams that may get a call, with what chooseUpstream() needs.
    struct Choice {
        std::vector<LibGateway::PlacementCandidate> candidates;
        std::vector<const LibFleet::UpstreamRecord *> records;
    };

    Line &line(const std::string &service);
    Availability tryPlace(const Demand &demand, bool anyBacklog, GrantKind kind, kj::Maybe<kj::Own<Grant>> &grant);
    /// Asks the owners of other engines. Waits for their answers.
    kj::Maybe<kj::Own<Grant>> askOthers(kj::WaitScope &scope, const Demand &demand);
    bool waitInLine(kj::WaitScope &scope, Line &line, Waiter &waiter, kj::ForkedPromise<void> &granted);
    void release(const LibFleet::UpstreamRecord &record, GrantKind kind);
    void serveWaiters(const std::string &service);
    void serveAllWaiters();
    void scheduleWake(const std::string &service);
    AK::Milliseconds retryAfter(const Line &line);

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    DispatchSettings settings;
    PlaceSource *places;
    UpstreamTable table;
    int callsOfOthers = 0;
    std::map<std::string, std::unique_ptr<Line>> lines;
    /// By name of the route.
    std::map<std::string, LibGateway::PatienceRecord> patience;
    AK::Random random;
};

} // namespace Gateway
