#include <LibRouting/Retry.h>

#include <algorithm>

namespace LibRouting
{

void countFirstAttempt(RetryBudget &budget)
{
    budget.tokens = std::min(retryTokenLimit, budget.tokens + retryShare);
}

RetryDecision decideRetry(const AttemptOutcome &outcome, RetryBudget &budget)
{
    if (outcome.sentToCaller) {
        return RetryDecision::GiveUp;
    }
    if (outcome.refusedBeforeStart) {
        return outcome.refusals < refusalLimit ? RetryDecision::TryAnother : RetryDecision::GiveUp;
    }
    if (!outcome.repeatable || budget.tokens < 1) {
        return RetryDecision::GiveUp;
    }
    budget.tokens -= 1;
    return RetryDecision::TryAnother;
}

} // namespace LibRouting
