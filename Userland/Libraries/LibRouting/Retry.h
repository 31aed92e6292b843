#pragma once

#include <string_view>

namespace LibRouting
{

/// Retries that an account may still cause at one upstream. Each first attempt earns a tenth of a retry.
struct RetryBudget {
    /// One retry in advance, so that the first call to a broken upstream can be repeated.
    double tokens = 1;
};

inline constexpr double retryShare = 0.1;
inline constexpr double retryTokenLimit = 10;
/// Attempts per call that end in a refusal before start; a refusal costs an upstream almost nothing, so these have no budget.
inline constexpr int refusalLimit = 4;

/// How an attempt ended.
struct AttemptOutcome {
    /// The agent or the connection refused before the call could start.
    bool refusedBeforeStart = false;
    /// The call may be run again.
    bool repeatable = false;
    /// A part of the answer has gone to the caller.
    bool sentToCaller = false;
    /// Refusals of this call so far, this one included.
    int refusals = 0;
};

enum class RetryDecision { GiveUp, TryAnother };

void countFirstAttempt(RetryBudget &budget);

/// Decides about another attempt and spends from the budget when the attempt that failed may have run.
RetryDecision decideRetry(const AttemptOutcome &outcome, RetryBudget &budget);

} // namespace LibRouting
