#pragma once

#include "CallRequirements.h"
#include "Grant.h"

#include <AK/Random.h>
#include <LibGateway/QueueRules.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/ServiceOrder.h>
#include <LibGateway/WaitPrediction.h>
#include <kj/async.h>
#include <list>

namespace Gateway
{

/// A call that waits in the queue of its service for a slot.
struct Waiter {
    const CallRequirements *requirements = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    kj::Maybe<kj::Own<Grant>> grant;
    /// All upstreams of the service are paused, or for a request of another entry, none may be used.
    bool refused = false;
    /// GrantKind::ForPeer for the request of another entry.
    GrantKind kind = GrantKind::Local;
};

/// Calls of one service that wait for a slot, ordered by rank and arrival, and the retry budget of the service.
struct ServiceQueue {
    explicit ServiceQueue(const LibGateway::RetryBudgetSettings &settings);

    std::list<Waiter *> waiters;
    LibGateway::RetryBudget budget;
    LibGateway::QueueIntervals intervals;
    /// With DispatchSettings::competition.
    LibGateway::QueueRates rates;
    LibGateway::AccountStarts accountStarts;
    LibGateway::MinimumShare minimumShare;
    /// Moving average of the time for which calls hold slots of upstreams that are no engines, in ms; 0 before the first.
    double holdMs = 0;
    bool pollScheduled = false;
};

/// Adds a call behind those that are served before it.
void insert(ServiceQueue &queue, Waiter &waiter);

/// Sorts the queue by LibGateway::isServedBefore(), with the call that gets the minimum share in front when one is due. Returns that call.
const Waiter *sortByServiceOrder(ServiceQueue &queue, AK::Milliseconds now);

/// Whether a call is served before all that wait by LibGateway::isServedBefore().
bool isServedBeforeAll(const ServiceQueue &queue, const CallRequirements &requirements, AK::Milliseconds now);

/// Number of waiting calls of this entry's clients that are served before a call that can still be in time.
size_t callsAheadInTime(const ServiceQueue &queue, const LibGateway::QueueRank &rank, const Waiter *own, AK::Milliseconds now);

/// Number of waiting calls of this entry's clients.
size_t ownCalls(const ServiceQueue &queue);

/// Number of waiting calls that are served before a call of this rank that arrives now.
size_t callsAhead(const ServiceQueue &queue, const LibGateway::QueueRank &rank);

/// Whether a call of this rank that arrives now is served before all that wait.
bool isBeforeAll(const ServiceQueue &queue, const LibGateway::QueueRank &rank);

/// Time after which a refused client should retry, in ms.
AK::Milliseconds retryAfter(const ServiceQueue &queue, const LibGateway::QueueSettings &settings, AK::Random &random);

} // namespace Gateway
