#pragma once

#include <AK/EnumNames.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Codec.h>
#include <LibGateway/Leaving.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibPeers/PeerRecords.h>

namespace Gateway
{

/// What an upstream says about new calls.
enum class NoticeKind {
    /// It is leaving and wants none any more.
    Leaving,
};

inline constexpr std::array noticeKindNames{
    AK::EnumName{NoticeKind::Leaving, "leaving"},
};

/// What the upstreams themselves have said about new calls, in their responses to this entry. It holds whatever the store or another entry says of them.
class UpstreamNotices
{
public:
    UpstreamNotices(const AK::Clock &clock, const LibFleet::FleetState &fleet);

    /// Records what the head of a response says.
    void record(const LibFleet::UpstreamRecord &upstream, const LibGateway::ResponseInfo &response);

    bool isLeaving(const LibFleet::UpstreamRecord &upstream) const;

    /// Adds what other entries may not know yet to the state that they get: recent news, and notices of upstreams that are still registered as ready, so that
    /// an entry that has just started learns of them.
    void addTo(LibPeers::NodeState &state) const;
    void adopt(const LibPeers::NodeState &state);

    /// Adds the notices received since the last time to the counters.
    void exportTo(LibMetrics::MetricRegistry &metrics);

private:
    void recordLeaving(const std::string &upstream, int64_t startTime, std::string_view from);

    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    LibGateway::LeavingNotices leaving;
    std::map<NoticeKind, int64_t> uncounted;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
