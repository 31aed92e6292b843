#include <LibWeights/TransferPacer.h>

#include <algorithm>

namespace LibWeights
{

namespace
{

// Bounds how long a stop waits for a paced transfer.
constexpr AK::Milliseconds sliceMs = 50;

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
        left = takeTokens(this->urgent, this->clock.now(), bytes, this->currentRate());
        // The debt makes the other transfers wait instead.
        takeTokens(this->bucket, this->clock.now(), bytes, this->currentRate());
    }
    this->sleep(left, stopped);
}

void TransferPacer::sleep(AK::Milliseconds duration, const std::function<bool()> &stopped) const
{
    for (AK::Milliseconds left = duration; left > 0 && !stopped(); left -= sliceMs) {
        this->clock.sleep(std::min(left, sliceMs));
    }
}

void TransferPacer::giveBack(uint64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->bucket.tokens += static_cast<double>(bytes);
}

double TransferPacer::rate() const
{
    return this->currentRate();
}

} // namespace LibWeights
