#include "VersionChoice.h"

#include <algorithm>

namespace WeightAgent
{

namespace
{

// Time to load an engine, including the drain of its calls and the comparison of the staged chunks.
constexpr AK::Milliseconds loadTime = 1'500;
// Peers send with this share of their link, so that a copy takes accordingly longer to arrive from them.
constexpr double uploadShare = 0.8;
// Time until the first chunk has passed from its reader over other agents, and the polls in between.
constexpr AK::Milliseconds spreadTime = 600;

} // namespace

std::optional<AK::Milliseconds> fetchTime(const VersionOutlook &version, const OriginLink &link, bool originReachable)
{
    const size_t missing = version.chunks - std::min(version.chunks, version.held);
    if (missing == 0) {
        return 0;
    }
    const size_t fromOrigin = missing - std::min(missing, version.offered);
    if (fromOrigin > 0 && !originReachable) {
        return std::nullopt;
    }
    OriginLink ownLink = link;
    ownLink.originMbps = link.agentMbps * uploadShare;
    const double linkTime = std::max(static_cast<double>(fromOrigin) * chunkLinkTime(link), static_cast<double>(missing) * chunkLinkTime(ownLink));
    return static_cast<AK::Milliseconds>(linkTime) + (fromOrigin > 0 ? spreadTime : 0);
}

int64_t chooseVersionByRates(const std::vector<VersionOutlook> &targets, const OriginLink &link, bool originReachable)
{
    if (targets.empty()) {
        return 0;
    }
    const VersionOutlook &newest = targets.back();
    const std::optional<AK::Milliseconds> newestTime = fetchTime(newest, link, originReachable);
    for (const VersionOutlook &older : targets) {
        if (older.version == newest.version) {
            break;
        }
        const std::optional<AK::Milliseconds> olderTime = fetchTime(older, link, originReachable);
        // Half of the time to load: a version that some engines get in time is better than none.
        const bool olderInTime = olderTime && *olderTime > 0 && *olderTime + loadTime / 2 <= older.timeLeft;
        const bool newestTooLate = !newestTime || *newestTime + loadTime > older.timeLeft;
        // The origin may go away before it has sent the newest. A version that is mostly here is worth its short rest when the newest can follow.
        const bool mostlyHere = 2 * (older.held + older.offered) >= older.chunks;
        const bool newestCanFollow = newestTime && olderTime && *olderTime + *newestTime + loadTime <= newest.timeLeft;
        if (olderInTime && (newestTooLate || (mostlyHere && newestCanFollow))) {
            return older.version;
        }
    }
    return newest.held < newest.chunks ? newest.version : 0;
}

bool isWorthLoading(AK::Milliseconds usableTime)
{
    return usableTime > loadTime;
}

size_t assumedOffers(const KnownOffers &known, size_t missing, bool originReachable, AK::Milliseconds now)
{
    // After this time an agent that cannot read from the origin asks its peers again for a version.
    constexpr AK::Milliseconds maxAge = 1'500;
    const bool fresh = known.readAt && now - *known.readAt <= maxAge;
    return fresh || originReachable ? std::min(known.count, missing) : missing;
}

} // namespace WeightAgent
