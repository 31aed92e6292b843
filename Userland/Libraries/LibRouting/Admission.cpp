#include <LibRouting/Admission.h>

#include <algorithm>

namespace LibRouting
{

namespace
{

// Every eighth grant ignores priorities, so that a steady flow of high priority cannot starve the others.
constexpr uint32_t fairGrantInterval = 8;
constexpr double smoothing = 0.2;
constexpr AK::Milliseconds minimumRetryAfterMs = 100;
constexpr AK::Milliseconds maximumRetryAfterMs = 10'000;
// Idle accounts are forgotten above this number.
constexpr size_t accountLimit = 1'000;

AccountShare &shareOf(Admission &admission, const Applicant &applicant)
{
    AccountShare &share = admission.accounts[applicant.account];
    share.weight = std::max<uint32_t>(1, applicant.weight);
    if (share.queued == 0 && share.inUse == 0) {
        // An account earns nothing while it is idle.
        share.virtualTime = std::max(share.virtualTime, admission.virtualNow);
    }
    return share;
}

void takeSlot(Admission &admission, AccountShare &share)
{
    admission.virtualNow = std::max(admission.virtualNow, share.virtualTime);
    share.virtualTime += 1.0 / share.weight;
    ++share.inUse;
    ++admission.inUse;
    ++admission.grants;
}

void forgetIdleAccounts(Admission &admission)
{
    if (admission.accounts.size() > accountLimit) {
        std::erase_if(admission.accounts, [](const auto &entry) { return entry.second.queued == 0 && entry.second.inUse == 0; });
    }
}

// Weight of the accounts that have calls here, the applicant's included.
double activeWeight(const Admission &admission, const AccountShare &own)
{
    double total = 0;
    for (const auto &[name, other] : admission.accounts) {
        total += other.queued > 0 || other.inUse > 0 || &other == &own ? other.weight : 0;
    }
    return total;
}

// The newest queued call of the account that is furthest above its share of the queue, when the applicant's account is below its own.
std::vector<Applicant>::iterator displaceable(Admission &admission, const AdmissionLimits &limits, const AccountShare &own)
{
    const double placesPerWeight = limits.queueLimit / activeWeight(admission, own);
    auto found = admission.queue.end();
    if (own.queued + 1 > placesPerWeight * own.weight) {
        return found;
    }
    double worst = 0;
    for (auto queued = admission.queue.begin(); queued != admission.queue.end(); ++queued) {
        const AccountShare &share = admission.accounts[queued->account];
        const double excess = share.queued - placesPerWeight * share.weight;
        if (excess > 0 && excess >= worst) {
            worst = excess;
            found = queued;
        }
    }
    return found;
}

bool cannotFinish(const Admission &admission, AK::Milliseconds deadline, double waitMs, AK::Milliseconds now)
{
    if (deadline <= now) {
        return true;
    }
    // An idle upstream is always tried: a service time that was measured in bad times would otherwise never be corrected.
    return admission.inUse > 0 && static_cast<double>(now) + waitMs + admission.serviceTimeMs > static_cast<double>(deadline);
}

// Wait for a slot in ms: with fair shares a call waits for the calls of its own account, spread over the account's part of the slots.
double expectedWaitMs(const Admission &admission, const AccountShare &own)
{
    double total = 0;
    for (const auto &[name, other] : admission.accounts) {
        total += other.queued > 0 || &other == &own ? other.weight : 0;
    }
    const double ahead = std::min<double>(static_cast<double>(admission.queue.size()), own.queued * total / own.weight);
    return admission.serviceTimeMs * (ahead + 1) / std::max(1, admission.ramp.slots);
}

size_t nextInQueue(const Admission &admission)
{
    const bool fairTurn = admission.grants % fairGrantInterval == fairGrantInterval - 1;
    size_t best = 0;
    for (size_t i = 1; i < admission.queue.size(); ++i) {
        const Applicant &one = admission.queue[i];
        const Applicant &other = admission.queue[best];
        if (!fairTurn && one.priority != other.priority) {
            best = one.priority > other.priority ? i : best;
        } else if (admission.accounts.at(one.account).virtualTime < admission.accounts.at(other.account).virtualTime) {
            best = i;
        }
    }
    return best;
}

} // namespace

AK::Milliseconds retryAfter(const Admission &admission)
{
    const double slots = std::max(1, admission.ramp.slots);
    const double wait = admission.serviceTimeMs * (1.0 + static_cast<double>(admission.queue.size())) / slots;
    return std::clamp(static_cast<AK::Milliseconds>(wait), minimumRetryAfterMs, maximumRetryAfterMs);
}

AdmissionDecision offerCall(Admission &admission, const AdmissionLimits &limits, const Applicant &applicant, AK::Milliseconds now)
{
    advanceRamp(admission.ramp, limits.capacity, limits.rampStepMs, now);
    forgetIdleAccounts(admission);
    AccountShare &share = shareOf(admission, applicant);
    const auto refuse = [&](Refusal reason) {
        return AdmissionDecision{AdmissionResult::Refused, reason, retryAfter(admission), {}};
    };
    const bool slotFree = admission.inUse < admission.ramp.slots && admission.queue.empty();
    const double waitMs = slotFree ? 0 : expectedWaitMs(admission, share);
    if (cannotFinish(admission, applicant.deadline, waitMs, now)) {
        return refuse(Refusal::Deadline);
    }
    if (slotFree) {
        takeSlot(admission, share);
        return {AdmissionResult::Admitted, Refusal::None, 0, {}};
    }
    if (!applicant.queueAllowed) {
        return refuse(Refusal::Overloaded);
    }
    AdmissionDecision decision{AdmissionResult::Queued, Refusal::None, 0, {}};
    if (static_cast<int>(admission.queue.size()) >= limits.queueLimit) {
        const auto victim = displaceable(admission, limits, share);
        if (victim == admission.queue.end()) {
            return refuse(share.queued > 0 ? Refusal::ShareExceeded : Refusal::Overloaded);
        }
        decision.displaced.push_back({victim->id, Refusal::ShareExceeded});
        withdrawCall(admission, victim->id);
    }
    ++share.queued;
    admission.queue.push_back(applicant);
    return decision;
}

QueueGrants grantQueued(Admission &admission, const AdmissionLimits &limits, AK::Milliseconds now)
{
    advanceRamp(admission.ramp, limits.capacity, limits.rampStepMs, now);
    QueueGrants result;
    for (size_t i = 0; i < admission.queue.size();) {
        if (cannotFinish(admission, admission.queue[i].deadline, 0, now)) {
            result.dropped.push_back({admission.queue[i].id, Refusal::Deadline});
            withdrawCall(admission, admission.queue[i].id);
        } else {
            ++i;
        }
    }
    while (!admission.queue.empty() && admission.inUse < admission.ramp.slots) {
        const Applicant applicant = admission.queue[nextInQueue(admission)];
        withdrawCall(admission, applicant.id);
        takeSlot(admission, admission.accounts[applicant.account]);
        result.admitted.push_back(applicant.id);
    }
    return result;
}

void finishCall(Admission &admission, const std::string &account, AK::Milliseconds serviceTimeMs)
{
    --admission.inUse;
    --admission.accounts[account].inUse;
    if (serviceTimeMs < 0) {
        return;
    }
    admission.ramp.completedInStep = true;
    const auto sample = static_cast<double>(serviceTimeMs);
    admission.serviceTimeMs = admission.serviceTimeMs == 0 ? sample : admission.serviceTimeMs + smoothing * (sample - admission.serviceTimeMs);
}

bool withdrawCall(Admission &admission, uint64_t id)
{
    const auto found = std::find_if(admission.queue.begin(), admission.queue.end(), [id](const Applicant &queued) { return queued.id == id; });
    if (found == admission.queue.end()) {
        return false;
    }
    --admission.accounts[found->account].queued;
    admission.queue.erase(found);
    return true;
}

} // namespace LibRouting
