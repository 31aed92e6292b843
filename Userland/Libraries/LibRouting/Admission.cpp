#include <LibRouting/Admission.h>

#include <algorithm>

namespace LibRouting
{

namespace
{

// Every eighth grant ignores priorities, so that a steady load of high-priority calls cannot starve the others.
constexpr uint32_t fairGrantInterval = 8;
// Weight of a new sample in the moving average of the service time.
constexpr double serviceTimeSmoothing = 0.2;
constexpr AK::Milliseconds minimumRetryAfterMs = 100;
constexpr AK::Milliseconds maximumRetryAfterMs = 10'000;
// Above this number of accounts the idle ones are removed.
constexpr size_t accountLimit = 1'000;

AccountState &accountFor(AdmissionState &admission, const AdmissionRequest &request)
{
    AccountState &account = admission.accounts[request.account];
    account.weight = std::max<uint32_t>(1, request.weight);
    if (account.queued == 0 && account.inUse == 0) {
        // An idle account must not accumulate credit.
        account.virtualTime = std::max(account.virtualTime, admission.virtualNow);
    }
    return account;
}

void takeSlot(AdmissionState &admission, AccountState &account)
{
    admission.virtualNow = std::max(admission.virtualNow, account.virtualTime);
    account.virtualTime += 1.0 / account.weight;
    ++account.inUse;
    ++admission.inUse;
    ++admission.grants;
}

void removeIdleAccounts(AdmissionState &admission)
{
    if (admission.accounts.size() > accountLimit) {
        std::erase_if(admission.accounts, [](const auto &entry) { return entry.second.queued == 0 && entry.second.inUse == 0; });
    }
}

// Sum of the weights of the accounts with queued or running calls, `ownAccount` included.
double activeWeight(const AdmissionState &admission, const AccountState &ownAccount)
{
    double total = 0;
    for (const auto &[name, otherAccount] : admission.accounts) {
        total += otherAccount.queued > 0 || otherAccount.inUse > 0 || &otherAccount == &ownAccount ? otherAccount.weight : 0;
    }
    return total;
}

// The newest queued call of the account that exceeds its share of the queue the most; end() when none does or `ownAccount` has used up its own share.
std::vector<AdmissionRequest>::iterator findDisplaceable(AdmissionState &admission, const AdmissionLimits &limits, const AccountState &ownAccount)
{
    const double placesPerWeight = limits.queueLimit / activeWeight(admission, ownAccount);
    auto found = admission.queue.end();
    if (ownAccount.queued + 1 > placesPerWeight * ownAccount.weight) {
        return found;
    }
    double worst = 0;
    for (auto queued = admission.queue.begin(); queued != admission.queue.end(); ++queued) {
        const AccountState &account = admission.accounts[queued->account];
        const double excess = account.queued - placesPerWeight * account.weight;
        if (excess > 0 && excess >= worst) {
            worst = excess;
            found = queued;
        }
    }
    return found;
}

bool wouldMissDeadline(const AdmissionState &admission, AK::Milliseconds deadline, double waitMs, AK::Milliseconds now)
{
    if (deadline <= now) {
        return true;
    }
    // An idle upstream is always tried, because a service time estimate that is too high would otherwise never be corrected.
    return admission.inUse > 0 && static_cast<double>(now) + waitMs + admission.serviceTimeMs > static_cast<double>(deadline);
}

// Expected wait for a slot in ms. Under fair queuing a call waits only for the queued calls of its own account, which run on that account's share of the slots.
double expectedWaitMs(const AdmissionState &admission, const AccountState &ownAccount)
{
    double total = 0;
    for (const auto &[name, otherAccount] : admission.accounts) {
        total += otherAccount.queued > 0 || &otherAccount == &ownAccount ? otherAccount.weight : 0;
    }
    const double ahead = std::min<double>(static_cast<double>(admission.queue.size()), ownAccount.queued * total / ownAccount.weight);
    return admission.serviceTimeMs * (ahead + 1) / std::max(1, admission.ramp.slots);
}

size_t nextInQueue(const AdmissionState &admission)
{
    const bool ignorePriority = admission.grants % fairGrantInterval == fairGrantInterval - 1;
    size_t best = 0;
    for (size_t i = 1; i < admission.queue.size(); ++i) {
        const AdmissionRequest &call = admission.queue[i];
        const AdmissionRequest &bestCall = admission.queue[best];
        if (!ignorePriority && call.priority != bestCall.priority) {
            best = call.priority > bestCall.priority ? i : best;
        } else if (admission.accounts.at(call.account).virtualTime < admission.accounts.at(bestCall.account).virtualTime) {
            best = i;
        }
    }
    return best;
}

} // namespace

AK::Milliseconds retryAfter(const AdmissionState &admission)
{
    const double slots = std::max(1, admission.ramp.slots);
    const double wait = admission.serviceTimeMs * (1.0 + static_cast<double>(admission.queue.size())) / slots;
    return std::clamp(static_cast<AK::Milliseconds>(wait), minimumRetryAfterMs, maximumRetryAfterMs);
}

AdmissionDecision offerCall(AdmissionState &admission, const AdmissionLimits &limits, const AdmissionRequest &request, AK::Milliseconds now)
{
    advanceRamp(admission.ramp, limits.capacity, limits.rampStepMs, now);
    removeIdleAccounts(admission);
    AccountState &account = accountFor(admission, request);
    const auto refuse = [&](Refusal reason) {
        return AdmissionDecision{AdmissionResult::Refused, reason, retryAfter(admission), {}};
    };
    const bool slotFree = admission.inUse < admission.ramp.slots && admission.queue.empty();
    const double waitMs = slotFree ? 0 : expectedWaitMs(admission, account);
    if (wouldMissDeadline(admission, request.deadline, waitMs, now)) {
        return refuse(Refusal::Deadline);
    }
    if (slotFree) {
        takeSlot(admission, account);
        return {AdmissionResult::Admitted, Refusal::None, 0, {}};
    }
    if (!request.queueAllowed) {
        return refuse(Refusal::Overloaded);
    }
    AdmissionDecision decision{AdmissionResult::Queued, Refusal::None, 0, {}};
    if (static_cast<int>(admission.queue.size()) >= limits.queueLimit) {
        const auto displaced = findDisplaceable(admission, limits, account);
        if (displaced == admission.queue.end()) {
            return refuse(account.queued > 0 ? Refusal::ShareExceeded : Refusal::Overloaded);
        }
        decision.displaced.push_back({displaced->id, Refusal::ShareExceeded});
        withdrawCall(admission, displaced->id);
    }
    ++account.queued;
    admission.queue.push_back(request);
    return decision;
}

QueueGrants grantQueued(AdmissionState &admission, const AdmissionLimits &limits, AK::Milliseconds now)
{
    advanceRamp(admission.ramp, limits.capacity, limits.rampStepMs, now);
    QueueGrants result;
    for (size_t i = 0; i < admission.queue.size();) {
        if (wouldMissDeadline(admission, admission.queue[i].deadline, 0, now)) {
            result.dropped.push_back({admission.queue[i].id, Refusal::Deadline});
            withdrawCall(admission, admission.queue[i].id);
        } else {
            ++i;
        }
    }
    while (!admission.queue.empty() && admission.inUse < admission.ramp.slots) {
        const AdmissionRequest request = admission.queue[nextInQueue(admission)];
        withdrawCall(admission, request.id);
        takeSlot(admission, admission.accounts[request.account]);
        result.admitted.push_back(request.id);
    }
    return result;
}

void finishCall(AdmissionState &admission, const std::string &account, AK::Milliseconds serviceTimeMs)
{
    --admission.inUse;
    --admission.accounts[account].inUse;
    if (serviceTimeMs < 0) {
        return;
    }
    admission.ramp.completedInStep = true;
    const auto sample = static_cast<double>(serviceTimeMs);
    admission.serviceTimeMs = admission.serviceTimeMs == 0 ? sample : admission.serviceTimeMs + serviceTimeSmoothing * (sample - admission.serviceTimeMs);
}

bool withdrawCall(AdmissionState &admission, uint64_t id)
{
    const auto found = std::find_if(admission.queue.begin(), admission.queue.end(), [id](const AdmissionRequest &queued) { return queued.id == id; });
    if (found == admission.queue.end()) {
        return false;
    }
    --admission.accounts[found->account].queued;
    admission.queue.erase(found);
    return true;
}

} // namespace LibRouting
