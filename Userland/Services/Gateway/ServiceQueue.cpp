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
