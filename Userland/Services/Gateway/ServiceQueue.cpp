#include "ServiceQueue.h"

#include <algorithm>

namespace Gateway
{

ServiceQueue::ServiceQueue(const LibGateway::RetryBudgetSettings &settings)
    : budget(settings)
{
}

void insert(ServiceQueue &queue, Waiter &waiter)
{
    const auto position = std::find_if(queue.waiters.begin(), queue.waiters.end(),
                                       [&](const Waiter *other) { return LibGateway::isBefore(waiter.requirements->rank, other->requirements->rank); });
    queue.waiters.insert(position, &waiter);
}

namespace
{

LibGateway::WaitingCall waitingCall(const ServiceQueue &queue, const CallRequirements &requirements, AK::Milliseconds now)
{
    return {requirements.rank, requirements.inTimeUntil, queue.accountStarts.of(requirements.account, now)};
}

} // namespace

const Waiter *sortByServiceOrder(ServiceQueue &queue, AK::Milliseconds now)
{
    std::vector<std::pair<LibGateway::WaitingCall, Waiter *>> sorted;
    sorted.reserve(queue.waiters.size());
    for (Waiter *waiter : queue.waiters) {
        sorted.emplace_back(waitingCall(queue, *waiter->requirements, now), waiter);
    }
    std::sort(sorted.begin(), sorted.end(), [&](const auto &left, const auto &right) {
        const bool before = LibGateway::isServedBefore(left.first, right.first, now);
        return before
            || (!LibGateway::isServedBefore(right.first, left.first, now) && left.second->requirements->arrivedAt < right.second->requirements->arrivedAt);
    });
    size_t forShare = 0;
    if (LibGateway::isShareDue(queue.minimumShare)) {
        std::vector<LibGateway::WaitingCall> calls;
        calls.reserve(sorted.size());
        for (const auto &[call, waiter] : sorted) {
            calls.push_back(call);
        }
        forShare = LibGateway::chooseForShare(calls, now);
    }
    queue.waiters.clear();
    for (const auto &[call, waiter] : sorted) {
        queue.waiters.push_back(waiter);
    }
    if (forShare == 0) {
        return nullptr;
    }
    Waiter *chosen = sorted[forShare].second;
    queue.waiters.remove(chosen);
    queue.waiters.push_front(chosen);
    return chosen;
}

bool isServedBeforeAll(const ServiceQueue &queue, const CallRequirements &requirements, AK::Milliseconds now)
{
    const LibGateway::WaitingCall call = waitingCall(queue, requirements, now);
    return std::all_of(queue.waiters.begin(), queue.waiters.end(),
                       [&](const Waiter *other) { return LibGateway::isServedBefore(call, waitingCall(queue, *other->requirements, now), now); });
}

size_t callsAheadInTime(const ServiceQueue &queue, const LibGateway::QueueRank &rank, const Waiter *own, AK::Milliseconds now)
{
    return static_cast<size_t>(std::count_if(queue.waiters.begin(), queue.waiters.end(), [&](const Waiter *other) {
        return other != own && other->kind == GrantKind::Local && now < other->requirements->inTimeUntil
            && !LibGateway::isBefore(rank, other->requirements->rank);
    }));
}

size_t ownCalls(const ServiceQueue &queue)
{
    return static_cast<size_t>(
        std::count_if(queue.waiters.begin(), queue.waiters.end(), [](const Waiter *waiter) { return waiter->kind == GrantKind::Local; }));
}

size_t callsAhead(const ServiceQueue &queue, const LibGateway::QueueRank &rank)
{
    return static_cast<size_t>(
        std::count_if(queue.waiters.begin(), queue.waiters.end(), [&](const Waiter *other) { return !LibGateway::isBefore(rank, other->requirements->rank); }));
}

bool isBeforeAll(const ServiceQueue &queue, const LibGateway::QueueRank &rank)
{
    return queue.waiters.empty() || LibGateway::isBefore(rank, queue.waiters.front()->requirements->rank);
}

AK::Milliseconds retryAfter(const ServiceQueue &queue, const LibGateway::QueueSettings &settings, AK::Random &random)
{
    return LibGateway::retryAfter(queue.intervals, queue.waiters.size(), std::uniform_real_distribution<double>(0, 1)(random), settings);
}

} // namespace Gateway
