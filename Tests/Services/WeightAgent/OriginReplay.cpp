#include "OriginReplay.h"

#include <LibWeights/ChunkChoice.h>
#include <WeightAgent/SwarmView.h>
#include <algorithm>
#include <deque>

namespace OriginReplayTest
{

using namespace WeightAgent;

namespace
{

constexpr AK::Milliseconds step = 5;
constexpr AK::Milliseconds end = 14'000;
// Uploads that an agent queues: 250 ms.
constexpr size_t maxUploads = 6;
constexpr AK::Milliseconds readTimeout = 2'500;
constexpr AK::Milliseconds retryDelay = 300;
constexpr AK::Milliseconds pollInterval = 60;
constexpr double bytesPerMegabitStep = 125.0 * step;
constexpr double uploadShare = 0.8;

struct Transfer {
    size_t chunk = 0;
    /// The sending agent; nothing for the origin.
    std::optional<size_t> from;
    AK::Milliseconds startedAt = 0;
    double bytes = 0;
};

struct Agent {
    std::vector<size_t> neighbours;
    std::vector<size_t> standby;
    std::vector<size_t> ranks;
    std::vector<bool> held = std::vector<bool>(replayChunks, false);
    std::vector<bool> offered = std::vector<bool>(replayChunks, false);
    std::vector<Transfer> transfers;
    ReadPlan plan;
    AK::Milliseconds lastProgressAt = 0;
    AK::Milliseconds nextPollAt = 0;
    AK::Milliseconds nextReadAt = 0;
    bool originReached = true;
};

class Simulation
{
public:
    Simulation(const Replay &plan, Rule rule)
        : plan(plan)
        , scheduled(rule == Rule::Scheduled)
        , reads(this->scheduled ? scheduledConcurrency(plan.hosts, 0, replayLink) : originConcurrency(plan.hosts, 0))
        , agents(plan.hosts)
        , uploads(plan.hosts)
        , random(1)
    {
        SwarmView view;
        view.originRegion = "r";
        for (size_t i = 0; i < plan.hosts; ++i) {
            view.peers.push_back({{std::to_string(i), "r"}, {}});
        }
        for (size_t i = 0; i < plan.hosts; ++i) {
            SwarmView others = view;
            others.peers.erase(others.peers.begin() + static_cast<std::ptrdiff_t>(i));
            const SwarmSelf self{std::to_string(i), "r"};
            for (const ChosenPeer &chosen : chooseSwarmPeers(self, others, "m/2", this->scheduled ? this->reads.readers : 0)) {
                (chosen.standby ? this->agents[i].standby : this->agents[i].neighbours).push_back(std::stoul(chosen.peer.member.name));
            }
            const size_t position = regionPosition(self, membersOf(others), "m/2");
            for (size_t chunk = 0; chunk < replayChunks; ++chunk) {
                this->agents[i].ranks.push_back(this->scheduled ? laneRank(position, plan.hosts, chunk, this->reads.readers)
                                                                : regionRank(self.name, "r", membersOf(others), "m/2", chunk, this->reads.readers));
            }
            this->agents[i].plan = startPlan(this->agents[i].held, chunkLinkTime(replayLink), this->reads.readers, 0);
            this->agents[i].nextPollAt = static_cast<AK::Milliseconds>(i % (pollInterval / step)) * step;
        }
    }

    Outcome run()
    {
        for (; this->now < end && !this->allComplete(); this->now += step) {
            for (Agent &agent : this->agents) {
                if (!this->hangs(agent)) {
                    this->decide(agent);
                }
            }
            this->move();
        }
        this->outcome.lastAgentAt = this->now;
        return this->outcome;
    }

private:
    bool away() const
    {
        return this->now >= this->plan.awayFrom && this->now < this->plan.awayUntil;
    }

    bool hangs(const Agent &agent) const
    {
        return agent.ranks[0] < this->plan.hungReaders;
    }

    bool allComplete()
    {
        std::vector<bool> fleet(replayChunks, false);
        bool all = true;
        bool first = false;
        for (const Agent &agent : this->agents) {
            const bool complete = std::ranges::count(agent.held, true) == static_cast<std::ptrdiff_t>(replayChunks);
            first = first || complete;
            all = all && (complete || this->hangs(agent));
            for (size_t i = 0; i < replayChunks; ++i) {
                fleet[i] = fleet[i] || agent.held[i];
            }
        }
        this->outcome.wholeCopyAt = std::ranges::count(fleet, true) < static_cast<std::ptrdiff_t>(replayChunks) ? this->now : this->outcome.wholeCopyAt;
        this->outcome.firstAgentAt = first ? this->outcome.firstAgentAt : this->now;
        return all;
    }

    /// The transfers that an agent starts now.
    void decide(Agent &agent)
    {
        if (this->now >= agent.nextPollAt) {
            agent.nextPollAt = this->now + pollInterval;
            agent.offered.assign(replayChunks, false);
            for (size_t i = 0; i < replayChunks; ++i) {
                const auto offers = [&](size_t peer) {
                    return this->agents[peer].held[i];
                };
                const bool overdue = overdueTime(agent.plan, static_cast<uint32_t>(i), this->now) >= 0;
                agent.offered[i] = std::ranges::any_of(agent.neighbours, offers) || (overdue && std::ranges::any_of(agent.standby, offers));
            }
        }
        const auto isRead = [&](const Transfer &transfer) {
            return !transfer.from;
        };
        for (const bool own : {true, false}) {
            const auto reading = std::ranges::count_if(
                agent.transfers, [&](const Transfer &transfer) { return isRead(transfer) && (!this->scheduled || own == (agent.ranks[transfer.chunk] == 0)); });
            const size_t limit = own ? this->reads.readsPerReader : 1;
            if (static_cast<size_t>(reading) < limit && this->now >= agent.nextReadAt && (own || this->scheduled)) {
                this->startRead(agent, own);
            }
        }
        const auto reading = static_cast<size_t>(std::ranges::count_if(agent.transfers, isRead));
        const size_t limit = this->scheduled && reading > 0 ? 2 : 4;
        const std::vector<uint32_t> sources = this->holders(agent);
        for (size_t i = 0; agent.transfers.size() - reading < limit && i < agent.neighbours.size(); ++i) {
            const size_t neighbour = agent.neighbours[AK::uniformBelow(this->random, agent.neighbours.size())];
            const auto chunk = LibWeights::chooseRarest(this->missing(agent), this->agents[neighbour].held, sources, this->random);
            if (chunk && this->uploads[neighbour].size() < maxUploads && std::ranges::count(this->uploads[neighbour], &agent) == 0) {
                agent.transfers.push_back({*chunk, neighbour, this->now, 0});
                this->uploads[neighbour].push_back(&agent);
            }
        }
    }

    void startRead(Agent &agent, bool own)
    {
        std::vector<bool> seen = agent.held;
        for (size_t i = 0; i < replayChunks; ++i) {
            seen[i] = seen[i] || agent.offered[i];
        }
        noteSeen(agent.plan, seen, this->now);
        if (this->scheduled && !agent.originReached && !this->away()) {
            agent.originReached = true;
            agent.plan = startPlan(seen, chunkLinkTime(replayLink), this->reads.readers, this->now);
        }
        std::vector<bool> allowed = this->missing(agent);
        for (uint32_t i = 0; i < replayChunks; ++i) {
            const FetchScope scope = this->scheduled
                ? scheduledScope({true, agent.ranks[i], overdueTime(agent.plan, i, this->now), agent.offered[i], isTakenOver(agent.plan, i)})
                : allowedScope({true, agent.ranks[i], this->now - agent.lastProgressAt, this->now}, {});
            allowed[i] = allowed[i] && scope == FetchScope::Origin && (!this->scheduled || own == (agent.ranks[i] == 0));
        }
        const uint32_t chunk = (this->scheduled ? chooseRead(agent.plan, allowed, own, this->now, this->random)
                                                : LibWeights::chooseRarest(allowed, std::vector<bool>(replayChunks, true), this->holders(agent), this->random))
                                   .value_or(replayChunks);
        agent.originReached = agent.originReached && !(this->scheduled && this->away() && isStalled(agent.plan, this->now));
        if (this->away() && (chunk < replayChunks || !agent.originReached)) {
            agent.originReached = false;
            agent.nextReadAt = this->now + (this->scheduled ? probeInterval(agent.ranks[0], this->reads.readers) : 2 * retryDelay);
        } else if (chunk < replayChunks) {
            agent.transfers.push_back({chunk, std::nullopt, this->now, 0});
        }
    }

    std::vector<bool> missing(const Agent &agent) const
    {
        std::vector<bool> result = agent.held;
        result.flip();
        for (const Transfer &transfer : agent.transfers) {
            result[transfer.chunk] = false;
        }
        return result;
    }

    std::vector<uint32_t> holders(const Agent &agent) const
    {
        std::vector<uint32_t> counts(replayChunks, 0);
        for (const size_t neighbour : agent.neighbours) {
            for (size_t i = 0; i < replayChunks; ++i) {
                counts[i] += this->agents[neighbour].held[i] ? 1 : 0;
            }
        }
        return counts;
    }

    /// Moves the bytes of one step. The reads share the origin's link, the transfers to an agent its link; an agent sends one chunk after another.
    void move()
    {
        size_t originReads = 0;
        for (const Agent &agent : this->agents) {
            originReads += static_cast<size_t>(std::ranges::count_if(agent.transfers, [](const Transfer &transfer) { return !transfer.from; }));
        }
        for (Agent &agent : this->agents) {
            const auto busy = static_cast<size_t>(std::ranges::count_if(
                agent.transfers, [&](const Transfer &transfer) { return !transfer.from || this->uploads[*transfer.from].front() == &agent; }));
            const double share = replayLink.agentMbps * bytesPerMegabitStep / static_cast<double>(std::max<size_t>(1, busy));
            for (Transfer &transfer : agent.transfers) {
                const double fromPeer = transfer.from && this->uploads[*transfer.from].front() == &agent ? uploadShare * replayLink.agentMbps : 0;
                const double fromOrigin = transfer.from || this->away() ? 0 : replayLink.originMbps / static_cast<double>(originReads);
                transfer.bytes += std::min(share, (fromPeer + fromOrigin) * bytesPerMegabitStep);
                this->outcome.copiesSent += std::min(share, fromOrigin * bytesPerMegabitStep) / (replayLink.chunkBytes * static_cast<double>(replayChunks));
            }
        }
        for (Agent &agent : this->agents) {
            std::erase_if(agent.transfers, [&](const Transfer &transfer) { return this->ended(agent, transfer); });
        }
    }

    bool ended(Agent &agent, const Transfer &transfer)
    {
        if (transfer.bytes >= replayLink.chunkBytes) {
            if (transfer.from) {
                this->uploads[*transfer.from].pop_front();
            } else if (this->scheduled && agent.ranks[transfer.chunk] > 0) {
                noteTakenOver(agent.plan, static_cast<uint32_t>(transfer.chunk), this->now);
            }
            agent.held[transfer.chunk] = true;
            agent.lastProgressAt = this->now;
            return true;
        }
        if (!transfer.from && this->now - transfer.startedAt >= readTimeout) {
            ++this->outcome.readsTimedOut;
            agent.originReached = false;
            agent.nextReadAt = this->now + retryDelay;
            return true;
        }
        return false;
    }

    Replay plan;
    bool scheduled;
    OriginConcurrency reads;
    std::vector<Agent> agents;
    /// Agents to which each agent sends a chunk, in order.
    std::vector<std::deque<const Agent *>> uploads;
    AK::Random random;
    AK::Milliseconds now = 0;
    Outcome outcome;
};

} // namespace

Outcome replay(const Replay &plan, Rule rule)
{
    return Simulation(plan, rule).run();
}

} // namespace OriginReplayTest
