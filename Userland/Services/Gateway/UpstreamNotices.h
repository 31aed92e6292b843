#pragma once

#include <AK/EnumNames.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Codec.h>
#include <LibGateway/Leaving.h>
#include <LibGateway/Misdirection.h>
#include <LibGateway/Pause.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibPeers/PeerRecords.h>

namespace Gateway
{

/// What an upstream says about new calls.
enum class NoticeKind {
    /// It is leaving and wants none any more.
    Leaving,
    /// It wants none of this entry for some time.
    Pause,
    /// It is not the incarnation, or does not hold the weights, that the call was meant for.
    Misdirected,
};

inline constexpr std::array noticeKindNames{
    AK::EnumName{NoticeKind::Leaving, "leaving"},
    AK::EnumName{NoticeKind::Pause, "pause"},
    AK::EnumName{NoticeKind::Misdirected, "misdirected"},
};

/// What the upstreams themselves have said about new calls, in their responses to this entry. It holds whatever the store or another entry says of them.
class UpstreamNotices
{
public:
    UpstreamNotices(const AK::Clock &clock, const LibFleet::FleetState &fleet);

    /// Records what the head of a response says.
    void record(const LibFleet::UpstreamRecord &upstream, const LibGateway::ResponseInfo &response);

    bool isLeaving(const LibFleet::UpstreamRecord &upstream) const;

    /// Monotonic time before which an upstream gets nothing new after it has asked for a pause; 0 without one.
    AK::Milliseconds pausedUntil(const LibFleet::UpstreamRecord &upstream) const;

    /// Whether an upstream whose pause is over may not get another call yet, because it has `ownInFlight` calls of this entry.
    bool isResuming(const LibFleet::UpstreamRecord &upstream, int ownInFlight) const;

    const LibGateway::PauseSettings &pauseSettings() const;

    /// Records that an upstream, which was taken to hold `heldWeights`, refused a call as misdirected.
    void recordMisdirection(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights);

    /// Monotonic time before which an upstream gets no call because of such a refusal; 0 without one.
    AK::Milliseconds misdirectedUntil(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights) const;

    /// Adds what other entries may not know yet to the state that they get: recent news, and notices of upstreams that are still registered as ready, so that
    /// an entry that has just started learns of them.
    void addTo(LibPeers::NodeState &state) const;
    void adopt(const LibPeers::NodeState &state);

    /// Adds the notices received since the last time to the counters.
    void exportTo(LibMetrics::MetricRegistry &metrics);

private:
    void recordLeaving(const std::string &upstream, int64_t startTime, std::string_view from);
    void recordPause(const std::string &upstream, AK::Milliseconds duration);

    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    LibGateway::LeavingNotices leaving;
    LibGateway::PauseSettings pauses;
    /// By id of the upstream, so that a registration which changes to and fro does not end a pause.
    std::map<std::string, LibGateway::Pause> pauseOf;
    LibGateway::Misdirections misdirections;
    AK::Random random;
    std::map<NoticeKind, int64_t> uncounted;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
