#pragma once

#include <AK/Clock.h>
#include <cstdint>
#include <mutex>

namespace Fakes
{

/// Counts calls of the object API. Thread-safe.
class CallCounters
{
public:
    struct Totals {
        uint64_t calls = 0;
        uint64_t reads = 0;
        uint64_t writes = 0;
        /// The largest number of calls in one second of the monotonic clock.
        uint64_t peakCallsPerSecond = 0;
    };

    explicit CallCounters(const AK::Clock &clock);

    void count(bool write);
    /// Sets all counters to 0, including the peak.
    void reset();

    Totals totals() const;

private:
    const AK::Clock &clock;
    mutable std::mutex mutex;
    Totals counts;
    /// Number of the second that callsThisSecond counts.
    AK::Milliseconds currentSecond = 0;
    uint64_t callsThisSecond = 0;
};

} // namespace Fakes
