#pragma once

#include <AK/Clock.h>
#include <LibWeights/TokenBucket.h>
#include <functional>
#include <mutex>

namespace LibWeights
{

/// Limits the rate of weight transfers in one direction. Thread-safe.
class TransferPacer
{
public:
    /// `rate` returns the current limit in bytes per second; it is lower while live calls are in flight.
    TransferPacer(const AK::Clock &clock, std::function<double()> rate);

    /// Blocks until `bytes` may be transferred. Returns early when `stopped` becomes true.
    void wait(uint64_t bytes, const std::function<bool()> &stopped);

    /// Like wait(), but with priority: waits only for other urgent transfers. Both kinds together stay within the rate.
    void waitUrgent(uint64_t bytes, const std::function<bool()> &stopped);

    /// Returns the bytes of a failed transfer to the bucket, so that the link does not stay idle for them.
    void refund(uint64_t bytes);

    double rate() const;

private:
    void sleep(AK::Milliseconds duration, const std::function<bool()> &stopped) const;

    const AK::Clock &clock;
    std::function<double()> currentRate;
    std::mutex mutex;
    TokenBucket bucket;
    TokenBucket urgentBucket;
};

} // namespace LibWeights
