#include <LibOnce/PendingOutcomes.h>

#include <algorithm>

namespace LibOnce
{

PendingOutcomes::PendingOutcomes(PendingLimits limits)
    : limits(limits)
{
}

bool PendingOutcomes::add(HeldClaim claim, AK::Milliseconds now)
{
    if (this->queue.size() >= this->limits.outcomes) {
        return false;
    }
    RecordedResponse &recorded = claim.record.recordedResponse;
    if (this->bodyBytes + recorded.response.body.size() > this->limits.bodyBytes) {
        recorded.bodyKept = false;
        recorded.response.body.clear();
    }
    this->bodyBytes += recorded.response.body.size();
    this->queue.push_back({std::move(claim), now, now + this->limits.initialDelay, 0});
    return true;
}

std::optional<PendingOutcome> PendingOutcomes::take(AK::Milliseconds now, bool ignoreBackoff)
{
    const auto found =
        std::find_if(this->queue.begin(), this->queue.end(), [&](const PendingOutcome &outcome) { return ignoreBackoff || outcome.notBefore <= now; });
    if (found == this->queue.end()) {
        return std::nullopt;
    }
    PendingOutcome outcome = std::move(*found);
    this->queue.erase(found);
    this->bodyBytes -= outcome.claim.record.recordedResponse.response.body.size();
    return outcome;
}

bool PendingOutcomes::retry(PendingOutcome outcome, AK::Milliseconds now, AK::Random &random)
{
    if (now - outcome.queuedAt >= this->limits.giveUpAfter || this->queue.size() >= this->limits.outcomes) {
        return false;
    }
    const int doublings = std::min(outcome.attempts, 16);
    const AK::Milliseconds delay = std::min(this->limits.maxDelay, this->limits.initialDelay << doublings);
    // Jitter over the upper half of the delay keeps entry processes from retrying in step after an outage.
    outcome.notBefore = now + delay / 2 + static_cast<AK::Milliseconds>(AK::uniformBelow(random, static_cast<uint64_t>(delay / 2 + 1)));
    ++outcome.attempts;
    this->bodyBytes += outcome.claim.record.recordedResponse.response.body.size();
    this->queue.push_back(std::move(outcome));
    return true;
}

size_t PendingOutcomes::size() const
{
    return this->queue.size();
}

} // namespace LibOnce
