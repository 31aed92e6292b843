#pragma once

#include <LibOnce/ClaimProtocol.h>
#include <deque>

namespace LibOnce
{

/// An outcome that the store has not confirmed.
struct PendingOutcome {
    HeldClaim claim;
    AK::Milliseconds queuedAt = 0;
    AK::Milliseconds notBefore = 0;
    int attempts = 0;
};

/// Limits of the queue of pending outcomes.
struct PendingLimits {
    size_t outcomes = 1'000;
    /// Total size of the queued bodies; a response over it is queued without its body.
    size_t bodyBytes = 8 << 20;
    AK::Milliseconds initialDelay = 200;
    AK::Milliseconds maxDelay = 30'000;
    /// An outcome that is not recorded within this time is dropped; its claim stays unchanged.
    AK::Milliseconds giveUpAfter = 3'600'000;
};

/// Bounded queue of outcomes to record, with jittered exponential backoff. Not thread-safe.
class PendingOutcomes
{
public:
    explicit PendingOutcomes(PendingLimits limits = {});

    /// Returns false when the queue is full.
    bool add(HeldClaim claim, AK::Milliseconds now);

    /// Removes and returns the first outcome that is due, or the first of the queue with `ignoreBackoff`.
    std::optional<PendingOutcome> take(AK::Milliseconds now, bool ignoreBackoff);

    /// Queues an outcome again after a failed attempt. Returns false when the outcome is too old or the queue is full; the outcome is then dropped.
    bool retry(PendingOutcome outcome, AK::Milliseconds now, AK::Random &random);

    size_t size() const;

private:
    PendingLimits limits;
    std::deque<PendingOutcome> queue;
    size_t bodyBytes = 0;
};

} // namespace LibOnce
