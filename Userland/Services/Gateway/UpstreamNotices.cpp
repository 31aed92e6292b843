#include "UpstreamNotices.h"

namespace Gateway
{

namespace
{

// Far above the upstreams of a deployment that leave within hours.
constexpr size_t maxLeavingNotices = 4'096;
// More than the upstreams of the largest deployment.
constexpr size_t maxMisdirections = 4'096;
// News are sent with every exchange for this long, so that they reach the entries that don't exchange with this one.
constexpr AK::Milliseconds newsTime = 2'000;

} // namespace

UpstreamNotices::UpstreamNotices(const AK::Clock &clock, const LibFleet::FleetState &fleet)
    : clock(clock)
    , fleet(fleet)
    , random(AK::seededFromSystem())
{
}

void UpstreamNotices::record(const LibFleet::UpstreamRecord &upstream, const LibGateway::ResponseInfo &response)
{
    if (response.leaving) {
        this->recordLeaving(upstream.id, upstream.startTime, "response");
    }
    if (response.pause) {
        this->recordPause(upstream.id, *response.pause);
    }
}

void UpstreamNotices::recordPause(const std::string &upstream, AK::Milliseconds duration)
{
    const AK::Milliseconds now = this->clock.now();
    std::erase_if(this->pauseOf, [&](const auto &entry) { return LibGateway::isOver(entry.second, now, this->pauses); });
    LibGateway::Pause &pause = this->pauseOf[upstream];
    if (LibGateway::recordPause(pause, duration, now, this->pauses, this->random)) {
        ++this->uncounted[NoticeKind::Pause];
        this->logger.info("upstream_paused",
                          {{"upstream", upstream}, {"asked_ms", duration}, {"pause_ms", pause.until - now}, {"resumes_in_ms", pause.resumesAt - now}});
    }
}

AK::Milliseconds UpstreamNotices::pausedUntil(const LibFleet::UpstreamRecord &upstream) const
{
    const auto pause = this->pauseOf.find(upstream.id);
    return pause == this->pauseOf.end() ? 0 : pause->second.resumesAt;
}

bool UpstreamNotices::isResuming(const LibFleet::UpstreamRecord &upstream, int ownInFlight) const
{
    const auto pause = this->pauseOf.find(upstream.id);
    return pause != this->pauseOf.end() && ownInFlight >= LibGateway::callsAllowed(pause->second, upstream.slots, this->clock.now(), this->pauses);
}

const LibGateway::PauseSettings &UpstreamNotices::pauseSettings() const
{
    return this->pauses;
}

void UpstreamNotices::recordMisdirection(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights)
{
    const AK::Milliseconds now = this->clock.now();
    const AK::Milliseconds before = this->misdirectedUntil(upstream, heldWeights);
    const AK::Milliseconds until = LibGateway::recordMisdirection(this->misdirections, upstream.id, {upstream.startTime, heldWeights}, now, maxMisdirections);
    if (until != before) {
        ++this->uncounted[NoticeKind::Misdirected];
        this->logger.info("upstream_misdirected",
                          {{"upstream", upstream.id}, {"born", upstream.startTime}, {"version", heldWeights}, {"pause_ms", until - now}});
    }
}

AK::Milliseconds UpstreamNotices::misdirectedUntil(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights) const
{
    return LibGateway::misdirectedUntil(this->misdirections, upstream.id, {upstream.startTime, heldWeights});
}

void UpstreamNotices::recordLeaving(const std::string &upstream, int64_t startTime, std::string_view from)
{
    if (LibGateway::recordLeaving(this->leaving, upstream, startTime, this->clock.now(), maxLeavingNotices)) {
        ++this->uncounted[NoticeKind::Leaving];
        this->logger.info("upstream_leaving", {{"upstream", upstream}, {"born", startTime}, {"from", from}});
    }
}

bool UpstreamNotices::isLeaving(const LibFleet::UpstreamRecord &upstream) const
{
    return LibGateway::isLeaving(this->leaving, upstream.id, upstream.startTime);
}

void UpstreamNotices::addTo(LibPeers::NodeState &state) const
{
    const AK::Milliseconds now = this->clock.now();
    for (const auto &[upstream, notice] : this->leaving) {
        const auto record = this->fleet.upstreams().find(upstream);
        const bool calledReady =
            record != this->fleet.upstreams().end() && record->second.state == LibFleet::UpstreamState::Ready && this->isLeaving(record->second);
        if (calledReady || now - notice.learnedAt <= newsTime) {
            state.leavingUpstreams.push_back({upstream, notice.startTime});
        }
    }
}

void UpstreamNotices::adopt(const LibPeers::NodeState &state)
{
    for (const LibPeers::LeavingUpstreamReport &report : state.leavingUpstreams) {
        this->recordLeaving(report.upstream, report.startTime, state.name);
    }
}

void UpstreamNotices::exportTo(LibMetrics::MetricRegistry &metrics)
{
    for (auto &[kind, count] : this->uncounted) {
        metrics.add("catkinlink_upstream_notices_total", {{"kind", std::string(AK::nameOf(noticeKindNames, kind))}}, static_cast<double>(count));
    }
    this->uncounted.clear();
}

} // namespace Gateway
