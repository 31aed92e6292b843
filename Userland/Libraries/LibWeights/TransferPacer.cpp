#include <LibWeights/TransferPacer.h>

#include <algorithm>

namespace LibWeights
{

namespace
{

// Interval at which a waiting transfer checks for a stop.
constexpr AK::Milliseconds stopCheckIntervalMs = 50;

} // namespace

TransferPacer::TransferPacer(const AK::Clock &clock, std::function<double()> rate)
    : clock(clock)
    , currentRate(std::move(rate))
{
}

void TransferPacer::wait(uint64_t bytes, const std::function<bool()> &stopped)
{
    AK::Milliseconds left = 0;
    {
        const std::lock_guard lock(this->mutex);
        left = takeTokens(this->bucket, this->clock.now(), bytes, this->currentRate());
    }
    this->sleep(left, stopped);
}

void TransferPacer::waitUrgent(uint64_t bytes, const std::function<bool()> &stopped)
{
    AK::Milliseconds left = 0;
    {
        const std::lock_guard lock(this->mutex);
        left = takeTokens(this->urgentBucket, this->clock.now(), bytes, this->currentRate());
        // Also charged to the normal bucket, so that other transfers wait instead.
        takeTokens(this->bucket, this->clock.now(), bytes, this->currentRate());
    }
    this->sleep(left, stopped);
}

void TransferPacer::sleep(AK::Milliseconds duration, const std::function<bool()> &stopped) const
{
    for (AK::Milliseconds left = duration; left > 0 && !stopped(); left -= stopCheckIntervalMs) {
        this->clock.sleep(std::min(left, stopCheckIntervalMs));
    }
}

void TransferPacer::refund(uint64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->bucket.tokens += static_cast<double>(bytes);
}

double TransferPacer::rate() const
{
    return this->currentRate();
}

} // namespace LibWeights
