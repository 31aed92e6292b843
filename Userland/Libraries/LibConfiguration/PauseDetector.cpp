#include <LibConfiguration/PauseDetector.h>

#include <algorithm>
#include <chrono>

namespace LibConfiguration
{

PauseDetector::PauseDetector(const AK::Clock &clock, AK::Milliseconds limit, std::function<void()> refresh)
    : clock(clock)
    , limit(limit)
    , refresh(std::move(refresh))
{
}

PauseDetector::~PauseDetector()
{
    this->stop();
}

void PauseDetector::start()
{
    this->lastHeartbeat = std::max<AK::Milliseconds>(1, this->clock.now());
    this->thread = std::thread([this] { this->loop(); });
}

void PauseDetector::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->lastHeartbeat = 0;
    }
    this->changed.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool PauseDetector::isCurrent() const
{
    const AK::Milliseconds heartbeat = this->lastHeartbeat;
    return heartbeat == 0 || this->clock.now() - heartbeat <= this->limit;
}

void PauseDetector::waitUntilCurrent(AK::Milliseconds timeout) const
{
    if (this->isCurrent()) {
        return;
    }
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [this] { return this->isCurrent(); });
}

void PauseDetector::loop()
{
    while (true) {
        // Read before the check, so that the next caller of waitUntilCurrent() detects a pause that follows the check.
        AK::Milliseconds checkedAt = std::max<AK::Milliseconds>(1, this->clock.now());
        if (!this->isCurrent()) {
            this->refresh();
            checkedAt = this->clock.now();
        }
        std::unique_lock lock(this->mutex);
        if (this->stopping) {
            return;
        }
        this->lastHeartbeat = checkedAt;
        this->changed.notify_all();
        // A quarter of the limit, so that a late wakeup on a busy machine does not count as a pause.
        this->changed.wait_for(lock, std::chrono::milliseconds(this->limit / 4), [this] { return this->stopping; });
        if (this->stopping) {
            return;
        }
    }
}

} // namespace LibConfiguration
