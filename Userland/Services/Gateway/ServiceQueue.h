#pragma once

#include "CallRequirements.h"
#include "Grant.h"

#include <AK/Random.h>
#include <LibGateway/QueueRules.h>
#include <LibGateway/RetryBudget.h>
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
    /// All upstreams of the service are paused.
    bool refused = false;
};

/// Calls of one service that wait for a slot, ordered by rank and arrival, and the retry budget of the service.
struct ServiceQueue {
    explicit ServiceQueue(const LibGateway::RetryBudgetSettings &settings);

    std::list<Waiter *> waiters;
    LibGateway::RetryBudget budget;
    LibGateway::QueueIntervals intervals;
    /// With DispatchSettings::competition.
    LibGateway::QueueRates rates;
    /// Moving average of the time for which calls hold slots of upstreams that are no engines, in ms; 0 before the first.
    double holdMs = 0;
    bool pollScheduled = false;
};

/// Adds a call behind those that are served before it.
void insert(ServiceQueue &queue, Waiter &waiter);

/// Number of waiting calls that are served before a call of this rank that arrives now.
size_t callsAhead(const ServiceQueue &queue, const LibGateway::QueueRank &rank);

/// Whether a call of this rank that arrives now is served before all that wait.
bool isBeforeAll(const ServiceQueue &queue, const LibGateway::QueueRank &rank);

/// Time after which a refused client should retry, in ms.
AK::Milliseconds retryAfter(const ServiceQueue &queue, const LibGateway::QueueSettings &settings, AK::Random &random);

} // namespace Gateway
