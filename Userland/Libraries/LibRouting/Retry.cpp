#include <LibRouting/Retry.h>

#include <algorithm>

namespace LibRouting
{

void countFirstAttempt(RetryBudget &budget)
{
    budget.tokens = std::min(retryTokenLimit, budget.tokens + retriesPerFirstAttempt);
}

RetryDecision decideRetry(const FailedAttempt &attempt, RetryBudget &budget)
{
    if (attempt.sentToCaller) {
        return RetryDecision::GiveUp;
    }
    if (attempt.refusedBeforeStart) {
        return attempt.refusals < refusalLimit ? RetryDecision::TryAnother : RetryDecision::GiveUp;
    }
    if (!attempt.repeatable || budget.tokens < 1) {
        return RetryDecision::GiveUp;
    }
    budget.tokens -= 1;
    return RetryDecision::TryAnother;
}

} // namespace LibRouting
