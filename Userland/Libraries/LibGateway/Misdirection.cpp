#include <LibGateway/Misdirection.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// About the time that a change of an upstream takes to reach all entries by way of its agent.
constexpr AK::Milliseconds firstPause = 500;
// Doubled up to four seconds, which is longer than a registration outlives its upstream.
constexpr int maxDoublings = 3;

} // namespace

AK::Milliseconds recordMisdirection(Misdirections &misdirections, const std::string &upstream, const ExpectedUpstream &expected, AK::Milliseconds now,
                                    size_t maxEntries)
{
    if (misdirections.size() >= maxEntries && !misdirections.contains(upstream)) {
        misdirections.erase(std::min_element(misdirections.begin(), misdirections.end(),
                                             [](const auto &left, const auto &right) { return left.second.until < right.second.until; }));
    }
    Misdirection &misdirection = misdirections[upstream];
    if (misdirection.expected != expected) {
        misdirection = {expected, 0, 0};
    }
    // Calls that were in flight together tell the same.
    if (now >= misdirection.until) {
        misdirection.until = now + (firstPause << std::min(misdirection.inRow, maxDoublings));
        ++misdirection.inRow;
    }
    return misdirection.until;
}

AK::Milliseconds misdirectedUntil(const Misdirections &misdirections, const std::string &upstream, const ExpectedUpstream &expected)
{
    const auto found = misdirections.find(upstream);
    return found == misdirections.end() || found->second.expected != expected ? 0 : found->second.until;
}

} // namespace LibGateway
