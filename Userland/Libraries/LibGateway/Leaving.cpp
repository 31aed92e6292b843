#include <LibGateway/Leaving.h>

#include <algorithm>

namespace LibGateway
{

bool isLeaving(const LeavingNotices &notices, const std::string &upstream, int64_t startTime)
{
    const auto notice = notices.find(upstream);
    return notice != notices.end() && (notice->second.startTime == 0 || startTime <= notice->second.startTime);
}

bool recordLeaving(LeavingNotices &notices, const std::string &upstream, int64_t startTime, AK::Milliseconds now, size_t maxNotices)
{
    if (isLeaving(notices, upstream, startTime)) {
        return false;
    }
    if (notices.size() >= maxNotices && !notices.contains(upstream)) {
        notices.erase(std::min_element(notices.begin(), notices.end(),
                                       [](const auto &left, const auto &right) { return left.second.learnedAt < right.second.learnedAt; }));
    }
    notices[upstream] = {startTime, now};
    return true;
}

} // namespace LibGateway
