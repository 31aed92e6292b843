#pragma once

#include <LibOnce/ClaimProtocol.h>
#include <deque>

namespace LibOnce
{

/// An outcome that the store has not confirmed yet.
struct PendingOutcome {
    HeldClaim claim;
    AK::Milliseconds queuedAt = 0;
    AK::Milliseconds notBefore = 0;
    int attempts = 0;
};

/// Limits of the queue of pending outcomes.
struct PendingLimits {
    size_t outcomes = 1'000;
    /// Answers beyond this are queued without their body.
    size_t bodyBytes = 8 << 20;
    AK::Milliseconds firstDelay = 200;
    AK::Milliseconds longestDelay = 30'000;
    /// An outcome that is still not recorded after this is given up; its claim stays as it is.
    AK::Milliseconds patience = 3'600'000;
};

/// Bounded queue of outcomes to record, with jittered exponential backoff. Not thread-safe.
class PendingOutcomes
{
public:
    explicit PendingOutcomes(PendingLimits limits = {});

    /// False when the queue is full.
    bool add(HeldClaim claim, AK::Milliseconds now);

    /// Takes the first outcome that is due, or, with `early`, the first of all.
    std::optional<PendingOutcome> take(AK::Milliseconds now, bool early);

    /// Queues an outcome again after a failed attempt. False when it has been tried for too long and is given up.
    bool retry(PendingOutcome outcome, AK::Milliseconds now, AK::Random &random);

    size_t size() const;

private:
    PendingLimits limits;
    std::deque<PendingOutcome> queue;
    size_t bodyBytes = 0;
};

} // namespace LibOnce
