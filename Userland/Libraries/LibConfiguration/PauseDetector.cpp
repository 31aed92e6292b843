#include <LibConfiguration/PauseDetector.h>

#include <algorithm>
#include <chrono>

namespace LibConfiguration
{

PauseDetector::PauseDetector(const AK::Clock &clock, AK::Milliseconds limit, std::function<void()> readAgain)
    : clock(clock)
    , limit(limit)
    , readAgain(std::move(readAgain))
{
}

PauseDetector::~PauseDetector()
{
    this->stop();
}

void PauseDetector::start()
{
    this->lastBeat = std::max<AK::Milliseconds>(1, this->clock.now());
    this->thread = std::thread([this] { this->loop(); });
}

void PauseDetector::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->lastBeat = 0;
    }
    this->changed.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool PauseDetector::currentNow() const
{
    const AK::Milliseconds beat = this->lastBeat;
    return beat == 0 || this->clock.now() - beat <= this->limit;
}

void PauseDetector::waitCurrent(AK::Milliseconds timeout) const
{
    if (this->currentNow()) {
        return;
    }
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [this] { return this->currentNow(); });
}

void PauseDetector::loop()
{
    while (true) {
        // Taken before the check, so that a pause after the check shows at the next reader.
        AK::Milliseconds checkedAt = std::max<AK::Milliseconds>(1, this->clock.now());
        if (!this->currentNow()) {
            this->readAgain();
            checkedAt = this->clock.now();
        }
        std::unique_lock lock(this->mutex);
        if (this->stopping) {
            return;
        }
        this->lastBeat = checkedAt;
        this->changed.notify_all();
        // A quarter of the limit leaves room for a busy machine.
        this->changed.wait_for(lock, std::chrono::milliseconds(this->limit / 4), [this] { return this->stopping; });
        if (this->stopping) {
            return;
        }
    }
}

} // namespace LibConfiguration
