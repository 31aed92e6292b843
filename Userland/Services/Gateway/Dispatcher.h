#pragma once

#include "Grant.h"
#include "ServiceQueue.h"
#include "SlotRequester.h"
#include "UpstreamTable.h"

#include <AK/Random.h>
#include <LibFiber/Loop.h>
#include <LibGateway/RetryBudget.h>
#include <map>
#include <memory>
#include <set>

namespace Gateway
{

/// Limits and parameters of an entry's dispatcher, from the settings of the deployment.
struct DispatchSettings {
    TableSettings upstreams;
    LibGateway::RetryBudgetSettings retries;
    LibGateway::QueueSettings queue;
    /// Calls compete for too little capacity: waits and refusals follow LibGateway::decideWait().
    bool competition = false;
    LibGateway::WaitSettings waits;
};

/// Why a call got no slot at an upstream.
enum class RefusalReason { NoUpstream, AllPaused, QueueTooLong, WaitedTooLong };

inline constexpr std::array refusalReasonNames{
    AK::EnumName{RefusalReason::NoUpstream, "no_upstream"},
    AK::EnumName{RefusalReason::AllPaused, "all_paused"},
    AK::EnumName{RefusalReason::QueueTooLong, "queue_too_long"},
    AK::EnumName{RefusalReason::WaitedTooLong, "waited_too_long"},
};

struct GrantOrRefusal {
    kj::Maybe<kj::Own<Grant>> grant;
    RefusalReason reason = RefusalReason::NoUpstream;
    /// Time after which a refused client should retry, in ms.
    AK::Milliseconds retryAfter = 0;
    /// With DispatchSettings::competition: the predicted time to a slot when the call was refused, in ms; negative when none was expected.
    double predictedWaitMs = 0;
};

/// Assigns calls to upstreams. While every upstream is full, calls wait in a queue per service, ordered by rank and arrival; a call that is not expected to
/// start in time is refused at once. Each engine is owned by one entry, which knows all calls there and offers slots to the other entries. Load pattern: with
/// many entries, most calls would otherwise go to engines of which their entry knows only a small part of the calls, and an engine would get too many prompts
/// at once.
class Dispatcher final : public LibPeers::SlotProvider
{
public:
    /// `slotSource` is nullptr for an entry that owns all upstreams.
    Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, SlotSource *slotSource);
    ~Dispatcher() override;
    KJ_DISALLOW_COPY(Dispatcher);

    /// Applies changed settings; calls and retries counted so far still count.
    void setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds weightsSwitchDelay, AK::Milliseconds weightsBeginLimit);

    /// Sets the region of each failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// Counts a call of a client, which increases the retry budget.
    void countCall(const std::string &service);

    /// Fills in the rank of a call and how long it may wait in the queue. `clientTimeout` is how long its client waits in total, in ms.
    void setRankAndStartBy(CallRequirements &requirements, const LibFleet::Route &route, AK::Milliseconds clientTimeout);

    /// Waits for a slot. The first send of a call needs no retry budget; before each further one the caller spends a retry with trySpendRetry().
    GrantOrRefusal acquire(kj::WaitScope &scope, const CallRequirements &requirements);

    kj::Maybe<LibPeers::OfferedSlot> offerSlot(const LibPeers::SlotRequest &request) override;
    /// With DispatchSettings::competition the request waits in the queue of this entry's own calls.
    kj::Promise<kj::Maybe<LibPeers::OfferedSlot>> awaitSlot(const LibPeers::SlotRequest &request) override;

    /// What keeps a call from the upstream of its grant by now; to be asked right before the request is written. See UpstreamTable::hindranceToSend().
    std::optional<LibGateway::Hindrance> hindranceToSend(const Grant &grant, const CallRequirements &requirements);

    /// Version of the weights that a call must require of the upstream of its grant, 0 for any.
    int64_t weightsToExpect(const Grant &grant) const;

    /// Time in ms from now within which the call of a grant must begin; see UpstreamTable::timeToBegin().
    AK::Milliseconds timeToBegin(const Grant &grant) const;

    /// Whether the call of a grant that was sent at `sentAt` (monotonic ms) may still wait at its engine. False for an upstream that is no engine.
    bool mayStillWait(const Grant &grant, AK::Milliseconds sentAt) const;

    /// Time after which a refused client should retry, in ms, when all upstreams that the call may use, those tried before included, are paused.
    std::optional<AK::Milliseconds> retryAfterPause(CallRequirements requirements);

    /// Spends one retry of the service's budget; false when it is used up.
    bool trySpendRetry(const std::string &service);

    void recordOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    /// Sends no calls to an upstream for a while; for a failure that no sound upstream shows.
    void suspend(const LibFleet::UpstreamRecord &upstream);
    /// Records that an upstream, which was taken to hold `heldWeights`, refused a call as misdirected.
    void recordMisdirection(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights);
    void recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting, std::optional<double> slowness = std::nullopt);
    void recordReport(const LibPeers::EngineReport &report);
    /// Records what the head of a response says about the upstream's rate limit and leaving. `sentAt`: monotonic time at which the call was sent.
    void recordResponse(const LibFleet::UpstreamRecord &upstream, const LibGateway::ResponseInfo &response, AK::Milliseconds sentAt);
    /// See UpstreamTable::recordRateLimit().
    void recordRateLimit(const LibFleet::UpstreamRecord &upstream, std::optional<double> callsPerSecond, AK::Milliseconds sentAt);
    /// Adds what upstreams have said to the state that other entries get, and takes over what they know.
    void addUpstreamNews(LibPeers::NodeState &state);
    void adoptUpstreamNews(const LibPeers::NodeState &state);

    /// Sets the entries that share the upstreams, this one included.
    void setEntries(std::vector<LibFleet::EntryLocation> entries);

    /// Sets the open slots that each other entry states for the engines that it owns, by its name.
    void setOpenSlots(std::map<std::string, int> openSlotsByEntry);
    /// Number of calls that the engines which this entry owns could take now.
    int openSlots();

    /// Writes the upstreams that get no calls now, by reason, and what upstreams have said about new calls.
    void exportMetrics(LibMetrics::MetricRegistry &metrics);

    /// Calls of this entry's clients in the queues.
    size_t waitingCalls() const;
    /// Calls of this entry's clients at upstreams.
    int callsInFlight() const;

private:
    friend class Grant;

    /// The request of another entry in the queue; the destructor withdraws it.
    class RemoteWaiter;
    /// The requests of a waiting call at the owners of other upstreams.
    struct OwnerWaits;

    enum class Availability { None, Full, Granted };

    ServiceQueue &queue(const std::string &service);
    Availability tryGrant(const CallRequirements &requirements, bool ignoreBacklog, GrantKind kind, kj::Maybe<kj::Own<Grant>> &grant);
    /// Requests a slot at an upstream of another entry, one that waits at its owner when `asked` is set; see SlotRequester::requestAndWait().
    kj::Maybe<kj::Own<Grant>> requestFromOwners(kj::WaitScope &scope, const CallRequirements &requirements, AK::Milliseconds wait = 0,
                                                std::set<std::string> *asked = nullptr);
    /// Starts the requests of a waiting call at other owners. The first slot ends its wait.
    void startOwnerWaits(OwnerWaits &waits, ServiceQueue &queue, Waiter &waiter);
    void waitAtOwner(kj::WaitScope &scope, OwnerWaits &waits, ServiceQueue &queue, Waiter &waiter);
    LibPeers::OfferedSlot offerOf(kj::Own<Grant> grant) const;
    CallRequirements requirementsOf(const LibPeers::SlotRequest &request) const;
    /// Records a slot that the dispatcher has granted, for the order of the next ones.
    void recordStart(ServiceQueue &queue, const CallRequirements &requirements);
    GrantOrRefusal acquireOrWait(kj::WaitScope &scope, const CallRequirements &requirements);
    void exportCompetition(LibMetrics::MetricRegistry &metrics) const;
    bool waitInQueue(kj::WaitScope &scope, ServiceQueue &queue, Waiter &waiter, kj::ForkedPromise<void> &granted);
    /// `heldFor`: how long the slot was held, in ms.
    void release(const LibFleet::UpstreamRecord &record, GrantKind kind, AK::Milliseconds heldFor);
    void serveWaiters(const std::string &service);
    void serveAllWaiters();
    void schedulePoll(const std::string &service);
    /// Predicted time from a slot to the first event, or to the response of other calls.
    AK::Milliseconds responseTime(const CallRequirements &requirements, const LibFleet::Route &route);
    /// Whether a call goes on waiting. `own`: its place in the queue, nullptr before it has one.
    bool mayWait(const CallRequirements &requirements, const Waiter *own);
    /// The refusal of a call for lack of a slot.
    GrantOrRefusal refusalForLackOfRoom(const CallRequirements &requirements, RefusalReason reason);
    /// The refusal of a call that no upstream may get.
    GrantOrRefusal refusalWithoutUpstream(const CallRequirements &requirements);

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    DispatchSettings settings;
    SlotSource *slotSource;
    UpstreamTable table;
    SlotRequester slotRequester;
    int callsForPeers = 0;
    /// Requests of other entries in the queues, and of this entry's calls at other owners.
    std::set<RemoteWaiter *> remoteWaiters;
    size_t ownerWaits = 0;
    /// With DispatchSettings::competition, by priority: own calls that have started, and those refused by reason.
    std::map<int, uint64_t> startedCalls;
    std::map<std::pair<int, RefusalReason>, uint64_t> refusedCalls;
    std::map<std::string, std::unique_ptr<ServiceQueue>> queues;
    /// By route name.
    std::map<std::string, LibGateway::ClientTimeoutRecord> clientTimeouts;
    AK::Random random;
};

} // namespace Gateway
