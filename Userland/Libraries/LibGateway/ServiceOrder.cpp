#include <LibGateway/ServiceOrder.h>

#include <algorithm>
#include <cmath>

namespace LibGateway
{

namespace
{

constexpr int slotsPerShare = 10;
constexpr size_t maxAccounts = 1'000;
constexpr double accountHalfLifeMs = 3'000;
// Far above the priorities that routes and accounts have.
constexpr int latePriorities = 1'000'000'000;

double decayed(double weight, AK::Milliseconds age)
{
    return weight * std::exp2(-static_cast<double>(age) / accountHalfLifeMs);
}

} // namespace

bool isServedBefore(const WaitingCall &left, const WaitingCall &right, AK::Milliseconds now)
{
    const bool leftLate = now >= left.inTimeUntil;
    const bool rightLate = now >= right.inTimeUntil;
    if (leftLate != rightLate) {
        return rightLate;
    }
    if (isBefore(left.rank, right.rank) || isBefore(right.rank, left.rank)) {
        return isBefore(left.rank, right.rank);
    }
    return left.accountStarts < right.accountStarts;
}

bool isShareDue(const MinimumShare &share)
{
    return share.slotsSince >= slotsPerShare - 1;
}

size_t chooseForShare(const std::vector<WaitingCall> &ordered, AK::Milliseconds now)
{
    size_t chosen = 0;
    for (size_t i = 1; i < ordered.size(); ++i) {
        const WaitingCall &call = ordered[i];
        if (!isBefore(ordered.front().rank, call.rank)) {
            continue;
        }
        const bool inTime = now < call.inTimeUntil;
        const bool sooner = chosen != 0 && inTime && call.inTimeUntil < ordered[chosen].inTimeUntil;
        if ((chosen == 0 && (inTime || call.rank.returning)) || sooner) {
            chosen = i;
        }
    }
    return chosen;
}

void AccountStarts::record(const std::string &account, AK::Milliseconds now)
{
    if (!this->starts.contains(account) && this->starts.size() >= maxAccounts) {
        this->removeIdle(now);
    }
    Starts &entry = this->starts[account];
    entry.weight = decayed(entry.weight, now - entry.updatedAt) + 1;
    entry.updatedAt = now;
}

double AccountStarts::of(const std::string &account, AK::Milliseconds now) const
{
    const auto found = this->starts.find(account);
    return found == this->starts.end() ? 0 : decayed(found->second.weight, now - found->second.updatedAt);
}

size_t AccountStarts::size() const
{
    return this->starts.size();
}

void AccountStarts::removeIdle(AK::Milliseconds now)
{
    // Forgotten accounts count as new ones, so the half with the fewest starts is the one whose order changes least. Half of them, because the search for one
    // would take as long.
    std::vector<double> weights;
    weights.reserve(this->starts.size());
    for (const auto &[account, entry] : this->starts) {
        weights.push_back(decayed(entry.weight, now - entry.updatedAt));
    }
    const auto middle = weights.begin() + static_cast<std::ptrdiff_t>(weights.size() / 2);
    std::nth_element(weights.begin(), middle, weights.end());
    const double limit = *middle;
    std::erase_if(this->starts, [&](const auto &item) { return decayed(item.second.weight, now - item.second.updatedAt) <= limit; });
}

int requestedPriority(int priority, bool inTime)
{
    return inTime ? priority : latePriorities + std::clamp(priority, 0, latePriorities);
}

RequestedRank rankOfRequest(int requestedPriority)
{
    return requestedPriority >= latePriorities ? RequestedRank{requestedPriority - latePriorities, false} : RequestedRank{requestedPriority, true};
}

} // namespace LibGateway
