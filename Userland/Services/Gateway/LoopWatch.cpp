#include "LoopWatch.h"

#include <algorithm>

namespace Gateway
{

namespace
{

constexpr AK::Milliseconds interval = 100;
constexpr AK::Milliseconds period = 1'000;
// Clients and upstreams notice a delay of this length.
constexpr AK::Milliseconds noticeableLateness = 200;

} // namespace

LoopWatch::LoopWatch(LibFiber::Loop &loop, LibMetrics::MetricRegistry &metrics)
    : loop(loop)
    , metrics(metrics)
{
}

void LoopWatch::start()
{
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            const AK::Milliseconds due = this->loop.clock().now() + interval;
            this->loop.sleep(scope, interval);
            this->record(std::max<AK::Milliseconds>(0, this->loop.clock().now() - due));
        }
    });
}

void LoopWatch::record(AK::Milliseconds late)
{
    const AK::Milliseconds now = this->loop.clock().now();
    if (now >= this->secondEndsAt) {
        this->previousLateness = this->currentLateness;
        this->currentLateness = 0;
        this->secondEndsAt = now + period;
        if (this->previousLateness >= noticeableLateness) {
            this->metrics.add("catkinlink_loop_late_seconds_total");
            this->logger.warning("loop_late", {{"late_ms", this->previousLateness}});
        }
    }
    this->currentLateness = std::max(this->currentLateness, late);
}

AK::Milliseconds LoopWatch::lateness() const
{
    return std::max(this->currentLateness, this->previousLateness);
}

} // namespace Gateway
