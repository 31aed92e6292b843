#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace LibGateway
{

/// An upstream has said in a response that it is leaving. Never taken back; another incarnation is free of it.
struct LeavingNotice {
    /// Wall time in ms at which the incarnation that leaves was started, 0 when unknown.
    int64_t startTime = 0;
    /// Monotonic time at which this entry learned of it.
    AK::Milliseconds learnedAt = 0;
};

/// By id of the upstream instance.
using LeavingNotices = std::map<std::string, LeavingNotice>;

/// Whether a notice holds for the incarnation of an upstream that was started at `startTime`, 0 when unknown. A registration with an earlier start is out of
/// date: its id belongs to the incarnation that leaves. Only a later start is that of a successor.
bool isLeaving(const LeavingNotices &notices, const std::string &upstream, int64_t startTime);

/// Records a notice. Returns whether it is news. More than `maxNotices` are not kept; the oldest is dropped.
bool recordLeaving(LeavingNotices &notices, const std::string &upstream, int64_t startTime, AK::Milliseconds now, size_t maxNotices);

} // namespace LibGateway
