#pragma once

#include <string_view>

namespace LibRouting
{

/// Retry budget (token bucket) of a client account at one upstream. Each first attempt adds a tenth of a token and each retry takes one, so that retries
/// cannot multiply the load when every attempt fails.
struct RetryBudget {
    /// Starts with one token, so that the first call to a failing upstream can be retried.
    double tokens = 1;
};

inline constexpr double retriesPerFirstAttempt = 0.1;
inline constexpr double retryTokenLimit = 10;
/// Maximum number of refused attempts per call. A refusal costs an upstream almost nothing, so it takes no token.
inline constexpr int refusalLimit = 4;

/// A failed attempt, as far as it matters for a retry.
struct FailedAttempt {
    /// The agent refused the call or could not be reached, so the call has not started.
    bool refusedBeforeStart = false;
    /// The call may be executed more than once.
    bool repeatable = false;
    /// A part of the answer has already been sent to the caller.
    bool sentToCaller = false;
    /// Number of refused attempts of this call, this one included.
    int refusals = 0;
};

enum class RetryDecision { GiveUp, TryAnother };

/// Adds the share of a retry that a first attempt earns.
void countFirstAttempt(RetryBudget &budget);

/// Decides whether another upstream is tried. Takes a token when the failed attempt may have started.
RetryDecision decideRetry(const FailedAttempt &attempt, RetryBudget &budget);

} // namespace LibRouting
