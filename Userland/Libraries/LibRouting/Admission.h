#pragma once

#include <AK/EnumNames.h>
#include <LibRouting/Ramp.h>
#include <map>
#include <string>
#include <vector>

namespace LibRouting
{

/// Why a call was not started. The values are those of the wire.
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
    /// Calls that the upstream bears at once when warm.
    int capacity = 16;
    int coldSlots = 1;
    AK::Milliseconds rampStepMs = 1'000;
    int queueLimit = 32;
};

/// A call that asks for a slot.
struct Applicant {
    uint64_t id = 0;
    std::string account;
    uint32_t weight = 1;
    /// Greater goes first.
    uint32_t priority = 0;
    /// Monotonic time in ms at which the caller gives up.
    AK::Milliseconds deadline = 0;
    bool queueAllowed = true;
};

/// Work of an account in units of calls divided by its weight.
struct AccountShare {
    double virtualTime = 0;
    uint32_t weight = 1;
    int queued = 0;
    int inUse = 0;
};

/// Slots, ramp and queue of one upstream. Changed by the functions below only.
struct Admission {
    Ramp ramp;
    int inUse = 0;
    /// In order of arrival.
    std::vector<Applicant> queue;
    std::map<std::string, AccountShare> accounts;
    double virtualNow = 0;
    /// Smoothed service time of completed calls in ms; 0 before the first.
    double serviceTimeMs = 0;
    uint32_t grants = 0;
};

enum class AdmissionResult { Admitted, Queued, Refused };

struct Dropped {
    uint64_t id = 0;
    Refusal reason = Refusal::None;
};

struct AdmissionDecision {
    AdmissionResult result = AdmissionResult::Refused;
    Refusal reason = Refusal::None;
    AK::Milliseconds retryAfterMs = 0;
    /// Queued calls that gave up their place for this one.
    std::vector<Dropped> displaced;
};

struct QueueGrants {
    std::vector<uint64_t> admitted;
    std::vector<Dropped> dropped;
};

/// Decides about a new call: a slot, a place in the queue, or a refusal.
AdmissionDecision offerCall(Admission &admission, const AdmissionLimits &limits, const Applicant &applicant, AK::Milliseconds now);

/// Gives free slots to queued calls and drops those that cannot meet their deadline.
QueueGrants grantQueued(Admission &admission, const AdmissionLimits &limits, AK::Milliseconds now);

/// Returns a slot. `serviceTimeMs` is the duration of a completed call, negative for a failed one.
void finishCall(Admission &admission, const std::string &account, AK::Milliseconds serviceTimeMs);

/// Takes a call out of the queue. False when it is not there.
bool withdrawCall(Admission &admission, uint64_t id);

/// Time in ms after which a refused caller may find a slot.
AK::Milliseconds retryAfter(const Admission &admission);

} // namespace LibRouting
