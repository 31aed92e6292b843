#pragma once

#include <AK/Clock.h>
#include <LibWeights/TokenBucket.h>
#include <functional>
#include <mutex>

namespace LibWeights
{

/// Paces one direction of the transfer of weights. Thread-safe.
class TransferPacer
{
public:
    /// `rate` gives the bytes per second at the moment; it falls while live calls are in flight.
    TransferPacer(const AK::Clock &clock, std::function<double()> rate);

    /// Blocks until `bytes` may pass. Returns early when `stopped` becomes true.
    void wait(uint64_t bytes, const std::function<bool()> &stopped);

    /// As wait(), but before all transfers that use wait(): only other urgent transfers are waited for. Both together keep to the rate.
    void waitUrgent(uint64_t bytes, const std::function<bool()> &stopped);

    /// Returns bytes that wait() took for a transfer that failed, so that the link is not left idle for them.
    void giveBack(uint64_t bytes);

    double rate() const;

private:
    void sleep(AK::Milliseconds duration, const std::function<bool()> &stopped) const;

    const AK::Clock &clock;
    std::function<double()> currentRate;
    std::mutex mutex;
    TokenBucket bucket;
    TokenBucket urgent;
};

} // namespace LibWeights
