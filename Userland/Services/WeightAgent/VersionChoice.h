#pragma once

#include "OriginSchedule.h"
#include <optional>

namespace WeightAgent
{

/// A target version set by the operator, and what is known of its chunks.
struct VersionOutlook {
    int64_t version = 0;
    /// Time until engines with older versions must not start any more calls.
    AK::Milliseconds timeLeft = 0;
    size_t chunks = 0;
    size_t held = 0;
    /// Chunks that are missing here and that known peers offer.
    size_t offered = 0;
};

/// Time in ms until a version can be complete here; nothing when chunks are missing that no known peer offers while the origin is away.
std::optional<AK::Milliseconds> fetchTime(const VersionOutlook &version, const OriginLink &link, bool originReachable);

/// The version to fetch next by the rates of the links, 0 for none: the newest, unless it would miss the time limit of an older target that can still be met,
/// or can follow an older one of which little is missing. Load pattern: the operator sets a second version seconds after the first, and the origin goes away
/// before it has sent either. Agents that go on with chunks that nobody has miss both time limits. `targets` holds the versions newer than the loaded one,
/// oldest first.
int64_t chooseVersionByRates(const std::vector<VersionOutlook> &targets, const OriginLink &link, bool originReachable);

/// Whether a version that newer ones replace is worth a load when calls may use it for `usableTime` ms more. Load pattern: an engine restarts while the weights
/// that the operator has just set are still on their way; it can serve with older ones until then.
bool isWorthLoading(AK::Milliseconds usableTime);

/// Missing chunks of a version that peers offered when they were last asked.
struct KnownOffers {
    size_t count = 0;
    /// Nothing before the first answers.
    std::optional<AK::Milliseconds> readAt;
};

/// Value of VersionOutlook::offered. While the origin is away, offers that are not known or old count as complete, so that the agent asks for them: the other
/// agents may have got the rest meanwhile.
size_t assumedOffers(const KnownOffers &known, size_t missing, bool originReachable, AK::Milliseconds now);

} // namespace WeightAgent
