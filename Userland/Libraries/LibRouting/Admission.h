#pragma once

#include <AK/EnumNames.h>
#include <LibRouting/Ramp.h>
#include <map>
#include <string>
#include <vector>

namespace LibRouting
{

/// Reason why a call was not started. The values equal those of Wire::RefusalReason.
enum class Refusal { None, Overloaded, Draining, OutOfService, WrongWeights, NotVerified, Deadline, DuplicateClaim, Unreachable, ShareExceeded };

inline constexpr std::array refusalNames{
    AK::EnumName{Refusal::None, "none"},
    AK::EnumName{Refusal::Overloaded, "overloaded"},
    AK::EnumName{Refusal::Draining, "draining"},
    AK::EnumName{Refusal::OutOfService, "out_of_service"},
    AK::EnumName{Refusal::WrongWeights, "wrong_weights"},
    AK::EnumName{Refusal::NotVerified, "not_verified"},
    AK::EnumName{Refusal::Deadline, "deadline"},
    AK::EnumName{Refusal::DuplicateClaim, "duplicate_claim"},
    AK::EnumName{Refusal::Unreachable, "unreachable"},
    AK::EnumName{Refusal::ShareExceeded, "share_exceeded"},
};

struct AdmissionLimits {
    /// Concurrent calls that the upstream can serve when warm.
    int capacity = 16;
    /// Concurrent calls at the start of a ramp.
    int coldSlots = 1;
    /// Shortest time between two increases of the slots during a ramp.
    AK::Milliseconds rampStepMs = 1'000;
    /// Maximum number of queued calls.
    int queueLimit = 32;
};

/// A call that requests a slot.
struct AdmissionRequest {
    uint64_t id = 0;
    std::string account;
    uint32_t weight = 1;
    /// A higher value is served first.
    uint32_t priority = 0;
    /// Monotonic time in ms after which the caller no longer waits.
    AK::Milliseconds deadline = 0;
    /// False: the call is refused instead of queued when no slot is free.
    bool queueAllowed = true;
};

/// Weighted fair queuing state of a client account.
struct AccountState {
    /// Sum over the granted calls of 1 / weight.
    double virtualTime = 0;
    uint32_t weight = 1;
    int queued = 0;
    int inUse = 0;
};

/// Slots, ramp and queue of one upstream. Only the functions below change it.
struct AdmissionState {
    Ramp ramp;
    int inUse = 0;
    /// In order of arrival.
    std::vector<AdmissionRequest> queue;
    std::map<std::string, AccountState> accounts;
    /// Highest virtual time at which a slot was granted. An account that was idle continues at least from here.
    double virtualNow = 0;
    /// Exponentially smoothed service time of completed calls in ms; 0 before the first one.
    double serviceTimeMs = 0;
    /// Number of slots granted so far.
    uint32_t grants = 0;
};

enum class AdmissionResult { Admitted, Queued, Refused };

/// A queued call that was removed from the queue without a slot.
struct DroppedCall {
    uint64_t id = 0;
    Refusal reason = Refusal::None;
};

struct AdmissionDecision {
    AdmissionResult result = AdmissionResult::Refused;
    Refusal reason = Refusal::None;
    AK::Milliseconds retryAfterMs = 0;
    /// Queued calls that were removed to make room for this one.
    std::vector<DroppedCall> displaced;
};

struct QueueGrants {
    /// Calls that received a slot, in order.
    std::vector<uint64_t> admitted;
    std::vector<DroppedCall> dropped;
};

/// Admits a new call to a slot, queues it, or refuses it.
/// When the queue is full, a client account below its share of the queue displaces a call of the account that exceeds its share the most, so that an account
/// that floods the upstream cannot block the others. A call that cannot finish by its deadline is refused, so that overload doesn't lead to wasted work.
AdmissionDecision offerCall(AdmissionState &admission, const AdmissionLimits &limits, const AdmissionRequest &request, AK::Milliseconds now);

/// Grants free slots to queued calls and drops those that cannot finish by their deadline. Higher priorities go first, except for every eighth grant; equal
/// priorities are ordered by the virtual time of their accounts.
QueueGrants grantQueued(AdmissionState &admission, const AdmissionLimits &limits, AK::Milliseconds now);

/// Releases the slot of a call. `serviceTimeMs` is the duration of a completed call, negative for a failed one.
void finishCall(AdmissionState &admission, const std::string &account, AK::Milliseconds serviceTimeMs);

/// Removes a call from the queue. Returns false when it is not queued.
bool withdrawCall(AdmissionState &admission, uint64_t id);

/// Estimated time in ms until a refused caller can get a slot, 100 to 10,000.
AK::Milliseconds retryAfter(const AdmissionState &admission);

} // namespace LibRouting
