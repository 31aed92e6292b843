#pragma once

#include "PlaceLinks.h"

#include <AK/Random.h>
#include <LibFiber/Loop.h>
#include <LibGateway/Placement.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/Waiting.h>
#include <list>
#include <map>
#include <memory>
#include <set>

namespace Gateway
{

/// Bounds that all upstream choices of an entry keep; from the deployment's settings.
struct DispatchSettings {
    /// Name of this entry.
    std::string name;
    std::string region;
    std::string failureDomain;
    LibGateway::PlacementSettings placement;
    LibGateway::RetryBudgetSettings retries;
    LibGateway::WaitingSettings waiting;
    /// ms after a new version became known at which the older one gets no more calls.
    AK::Milliseconds switchBefore = 6'000;
};

/// What a call needs of an upstream.
struct Demand {
    std::string service;
    LibGateway::WaitingPlace place;
    AK::Milliseconds arrivedAt = 0;
    int64_t promptTokens = 0;
    /// Time after which a start is of no use.
    AK::Milliseconds startBy = 0;
    /// Allowed regions; empty for any.
    std::vector<std::string> regions;
    std::vector<std::string> accountRegions;
    /// Upstreams that have had this call.
    std::set<std::string> excluded;
};

/// Why a call got no upstream.
enum class RefusalReason { NoUpstream, QueueTooLong, WaitedTooLong };

inline constexpr std::array refusalReasonNames{
    AK::EnumName{RefusalReason::NoUpstream, "no_upstream"},
    AK::EnumName{RefusalReason::QueueTooLong, "queue_too_long"},
    AK::EnumName{RefusalReason::WaitedTooLong, "waited_too_long"},
};

class Dispatcher;

/// Whose call holds a place, and who owns the upstream.
enum class GrantKind {
    /// A call of this entry, at an upstream that it owns or that has no owner.
    Own,
    /// A call of this entry; another entry owns the upstream and holds the place.
    AtOther,
    /// A call of another entry, at an upstream of this one.
    ForOther,
};

/// A place at an upstream; given back when it is dropped.
class Grant final : public LibPeers::HeldPlace
{
public:
    /// `heldByOwner`: the place that the owner of the upstream holds, for GrantKind::AtOther.
    Grant(Dispatcher &dispatcher, GrantKind kind, LibFleet::UpstreamRecord upstream, int64_t weightsVersion, int64_t promptTokens, double load,
          kj::Maybe<kj::Own<LibPeers::HeldPlace>> heldByOwner = nullptr);
    ~Grant() noexcept(false) override;
    KJ_DISALLOW_COPY(Grant);

    const LibFleet::UpstreamRecord &upstream() const;
    /// Weights that must answer, 0 for any.
    int64_t weightsVersion() const;
    /// Estimated calls at the upstream when it was chosen.
    double loadAtChoice() const;

    void promptRead() override;

private:
    void prompted();

    Dispatcher &dispatcher;
    GrantKind kind;
    LibFleet::UpstreamRecord record;
    int64_t version;
    int64_t pendingTokens;
    double load;
    kj::Maybe<kj::Own<LibPeers::HeldPlace>> heldByOwner;
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
class Dispatcher final : public LibPeers::PlaceOffer
{
public:
    /// `places` is nullptr for an entry that owns all upstreams.
    Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, PlaceSource *places);

    /// Takes over changed bounds; what was counted so far still counts.
    void setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds switchBefore);

    /// Regions by failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// Counts a call of a client; it earns retry budget.
    void countCall(const std::string &service);

    /// Fills in how long a call may wait and in which order. `patience` is what its client waits in all, in ms.
    void arrangeWaiting(Demand &demand, const LibFleet::Route &route, AK::Milliseconds patience);

    /// Waits for a place. The first send of a call needs no budget; later ones are paid with mayRepeat().
    GrantOrRefusal acquire(kj::WaitScope &scope, const Demand &demand);

    kj::Maybe<LibPeers::OfferedPlace> offerPlace(const LibPeers::PlaceRequest &request) override;

    /// Spends retry budget for another send of a call.
    bool mayRepeat(const std::string &service);

    void countOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    void countAnswer(const LibFleet::UpstreamRecord &upstream, int running, int waiting);
    void takeReport(const LibPeers::EngineReport &report);

    /// The entries that share the upstreams now, this one among them.
    void setEntries(std::vector<LibGateway::EntryPlace> entries);

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
    LibGateway::PlacementCandidate candidateOf(const LibFleet::UpstreamRecord &record, AK::Milliseconds now);
    /// The entry that owns an engine; empty when the upstream has no owner.
    const std::string &ownerOf(const LibFleet::UpstreamRecord &record);
    LibPeers::PlaceRequest placeRequest(const Demand &demand) const;
    int64_t versionToAsk(const LibFleet::UpstreamRecord &record) const;
    double prefillPerMs(const std::string &service) const;
    double coldRate(const std::string &service) const;
    bool mayUse(const LibFleet::UpstreamRecord &record, const Demand &demand, AK::Milliseconds now) const;
    LibGateway::UpstreamLoad &loadOf(const LibFleet::UpstreamRecord &record);
    int64_t requiredWeights(const std::string &service) const;
    int64_t heldWeights(const LibFleet::UpstreamRecord &record) const;
    std::string regionOf(const std::string &failureDomain) const;
    size_t entryCount() const;
    void release(const LibFleet::UpstreamRecord &record, GrantKind kind);
    void serveWaiters(const std::string &service);
    void serveAllWaiters();
    void scheduleWake(const std::string &service);
    AK::Milliseconds retryAfter(const Line &line);

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    DispatchSettings settings;
    std::map<std::string, std::string> regions;
    PlaceSource *places;
    std::vector<LibGateway::EntryPlace> entries;
    /// Owners by id of the engine, for the present entries.
    std::map<std::string, std::string> owners;
    int callsOfOthers = 0;
    std::map<std::string, std::unique_ptr<Line>> lines;
    /// By name of the route.
    std::map<std::string, LibGateway::PatienceRecord> patience;
    /// By address, so that the report of an agent finds its upstream.
    std::map<std::string, LibGateway::UpstreamLoad> loads;
    AK::Random random;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
