#pragma once

#include <LibFiber/Loop.h>
#include <LibMetrics/MetricRegistry.h>

namespace Gateway
{

/// Measures how late the event loop of an entry is. A late loop learns late that clients have left and that deadlines have passed; without the measure such
/// calls look like faults of their own.
class LoopWatch
{
public:
    LoopWatch(LibFiber::Loop &loop, LibMetrics::MetricRegistry &metrics);

    /// Starts the fiber that measures.
    void start();

    /// The longest delay of a timer in the last second or two, in ms.
    AK::Milliseconds lateness() const;

private:
    void record(AK::Milliseconds late);

    LibFiber::Loop &loop;
    LibMetrics::MetricRegistry &metrics;
    /// Longest delays of the second in progress and of the one before.
    AK::Milliseconds currentLateness = 0;
    AK::Milliseconds previousLateness = 0;
    AK::Milliseconds secondEndsAt = 0;
    LibLog::Logger logger{"loop"};
};

} // namespace Gateway
