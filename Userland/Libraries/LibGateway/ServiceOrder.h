#pragma once

#include <LibGateway/QueueRules.h>
#include <LibGateway/WaitPrediction.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace LibGateway
{

/// What the order of waiting calls depends on, whichever entry they arrived at.
struct WaitingCall {
    QueueRank rank;
    /// A call that starts until then is in time; monotonic.
    AK::Milliseconds inTimeUntil = 0;
    /// Recently started calls of its client account.
    double accountStarts = 0;
};

/// Order of the calls that wait for one owner's slots: those that can still be in time, then by priority, new before returning calls, and the accounts with the
/// fewest recently started calls. Equal calls stay in order of arrival. Load pattern: a burst, in which less urgent calls start at one entry while urgent ones
/// are refused at another.
bool isServedBefore(const WaitingCall &left, const WaitingCall &right, AK::Milliseconds now);

/// Counts slots for the minimum share of the less urgent calls.
struct MinimumShare {
    int slotsSince = 0;
};

/// Whether the next slot goes to a less urgent call: one of ten does. Load pattern: urgent calls alone fill all slots for minutes.
bool isShareDue(const MinimumShare &share);

/// Index of the call that gets the minimum share, or 0: of those less urgent than the first, the one that is refused next if it can still be in time, else the
/// first returning one. `ordered` by isServedBefore().
size_t chooseForShare(const std::vector<WaitingCall> &ordered, AK::Milliseconds now);

/// Recently started calls by client account, at most 1,000 of them.
class AccountStarts
{
public:
    void record(const std::string &account, AK::Milliseconds now);
    double of(const std::string &account, AK::Milliseconds now) const;
    size_t size() const;

private:
    struct Starts {
        double weight = 0;
        AK::Milliseconds updatedAt = 0;
    };

    void removeIdle(AK::Milliseconds now);

    std::unordered_map<std::string, Starts> starts;
};

/// Priority under which an entry requests a slot. A call that can't be in time any more is requested behind all that can; older builds understand the number.
int requestedPriority(int priority, bool inTime);

struct RequestedRank {
    int priority = 0;
    bool inTime = true;
};

/// The inverse of requestedPriority().
RequestedRank rankOfRequest(int requestedPriority);

} // namespace LibGateway
