#include "OriginSchedule.h"

#include <algorithm>
#include <cmath>

namespace WeightAgent
{

namespace
{

// The links of the readers together have this multiple of the bandwidth of the origin's link, because they also carry chunks of peers and calls.
constexpr double linkReserve = 2.5;
// One read alone leaves the origin's link idle between a response and the next request.
constexpr size_t minReads = 2;
// Covers the time from the end of a read until other agents know of the chunk: a poll of the peers and the transfers that are queued before it.
constexpr AK::Milliseconds overdueReserve = 400;
// Time until the agent of the next rank may read an overdue chunk; longer than a read while four share the link, which take some 110 ms.
constexpr AK::Milliseconds takeOverInterval = 200;
// Ranks by which agents outside the origin's region stand back from it: two seconds.
constexpr size_t originFallbackRanks = 10;
// Chunks reach another region later than the origin's, so its agents replace each other at half the pace.
constexpr size_t otherRegionDivisor = 2;
// Time for an agent that offers a chunk to send it. The chunk is then read from the origin although it is offered.
constexpr AK::Milliseconds offerTimeLimit = 2'000;
// Longer than the reserve and a few reads of other agents in place of the failed ones.
constexpr AK::Milliseconds stallTime = 700;
constexpr AK::Milliseconds shortestProbeInterval = 150;
// Shorter than overdueReserve: a reader that finds the return of the origin later would be replaced, and its first chunks read twice.
constexpr AK::Milliseconds readerProbeInterval = 300;
constexpr AK::Milliseconds longestProbeInterval = 3'000;
constexpr size_t probers = 2;

} // namespace

bool isScheduled(const OriginLink &link)
{
    return link.originMbps > 0 && link.agentMbps > 0 && link.chunkBytes > 0;
}

double chunkLinkTime(const OriginLink &link)
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMillisecond = 1'000;
    return link.chunkBytes * bitsPerByte / (link.originMbps * bitsPerMillisecond);
}

OriginConcurrency scheduledConcurrency(size_t agentsInOriginRegion, int maxConnections, const OriginLink &link)
{
    const OriginConcurrency limit = originConcurrency(agentsInOriginRegion, maxConnections);
    const size_t reads = std::max(minReads, static_cast<size_t>(std::ceil(linkReserve * link.originMbps / link.agentMbps)));
    const size_t readers = std::min(reads, limit.readers);
    return {readers, std::min(limit.readsPerReader, readers < reads ? limit.readsPerReader : 1)};
}

size_t laneRank(size_t position, size_t count, size_t chunk, size_t readers)
{
    const size_t group = position / readers;
    const size_t rotating = std::min(readers, count - group * readers);
    return group * readers + (position % readers + rotating - chunk % readers % rotating) % rotating;
}

ReadPlan startPlan(std::vector<bool> seen, double chunkTime, size_t lanes, AK::Milliseconds now)
{
    ReadPlan plan;
    plan.startAt = now;
    plan.chunkTime = chunkTime;
    plan.positions.resize(seen.size());
    plan.seen = std::move(seen);
    plan.progressAt.resize(std::max<size_t>(1, lanes), now);
    plan.takenOver.resize(plan.progressAt.size());
    size_t next = 0;
    for (size_t i = 0; i < plan.seen.size(); ++i) {
        if (!plan.seen[i]) {
            plan.positions[i] = next++;
        }
    }
    return plan;
}

void noteSeen(ReadPlan &plan, const std::vector<bool> &seen, AK::Milliseconds now)
{
    for (size_t i = 0; i < plan.seen.size() && i < seen.size(); ++i) {
        if (!seen[i] || plan.seen[i]) {
            continue;
        }
        plan.seen[i] = true;
        const size_t lane = i % plan.progressAt.size();
        plan.progressAt[lane] = now;
        plan.takenOver[lane] = false;
        // A chunk behind the front comes late because of its own reader, which says nothing about the origin's link.
        if (plan.positions[i] >= plan.front) {
            plan.front = plan.positions[i] + 1;
            plan.startAt = std::max(plan.startAt, now - static_cast<AK::Milliseconds>(plan.chunkTime * static_cast<double>(plan.front)));
        }
    }
}

void noteTakenOver(ReadPlan &plan, uint32_t chunk, AK::Milliseconds now)
{
    const size_t lane = chunk % plan.progressAt.size();
    plan.seen[chunk] = true;
    plan.progressAt[lane] = now;
    plan.takenOver[lane] = true;
}

AK::Milliseconds overdueTime(const ReadPlan &plan, uint32_t chunk, AK::Milliseconds now)
{
    const auto planned = static_cast<AK::Milliseconds>(plan.chunkTime * static_cast<double>(plan.positions[chunk] + 1));
    return now - std::max(plan.startAt + planned, plan.progressAt[chunk % plan.progressAt.size()]) - overdueReserve;
}

bool isTakenOver(const ReadPlan &plan, uint32_t chunk)
{
    return plan.takenOver[chunk % plan.takenOver.size()];
}

bool isStalled(const ReadPlan &plan, AK::Milliseconds now)
{
    const AK::Milliseconds lastProgressAt = std::max(plan.startAt, std::ranges::max(plan.progressAt));
    return now - lastProgressAt >= stallTime && std::ranges::find(plan.seen, false) != plan.seen.end();
}

FetchScope scheduledScope(const ScheduledPosition &position)
{
    const size_t replaceableRanks = position.overdue < 0 ? 0 : 1 + static_cast<size_t>(position.overdue / takeOverInterval);
    const bool mayReadAgain = !position.offered || position.overdue >= offerTimeLimit;
    if (position.inOriginRegion) {
        if ((position.takenOver || position.regionRank <= replaceableRanks) && mayReadAgain) {
            return FetchScope::Origin;
        }
        return replaceableRanks > 0 || position.regionRank == 0 ? FetchScope::AnyRegion : FetchScope::SameRegion;
    }
    if (replaceableRanks >= originFallbackRanks + position.regionRank && mayReadAgain) {
        return FetchScope::Origin;
    }
    return position.regionRank <= replaceableRanks / otherRegionDivisor ? FetchScope::AnyRegion : FetchScope::SameRegion;
}

std::optional<uint32_t> chooseRead(const ReadPlan &plan, const std::vector<bool> &allowed, bool own, AK::Milliseconds now, AK::Random &random)
{
    std::vector<uint32_t> others;
    for (uint32_t i = 0; i < allowed.size(); ++i) {
        if (!allowed[i]) {
            continue;
        }
        if (own || overdueTime(plan, i, now) >= 0) {
            return i;
        }
        others.push_back(i);
    }
    return others.empty() ? std::nullopt : std::optional(others[AK::uniformBelow(random, others.size())]);
}

AK::Milliseconds probeInterval(size_t rank, size_t readers)
{
    if (rank < probers) {
        return shortestProbeInterval;
    }
    return rank < readers ? readerProbeInterval : std::min(longestProbeInterval, shortestProbeInterval * static_cast<AK::Milliseconds>(rank + 1));
}

} // namespace WeightAgent
