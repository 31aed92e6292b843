#pragma once

#include <AK/Clock.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace LibConfiguration
{

/// Detects that this process did not run for a while, for example because it was stopped or its host was suspended, and has what it knows read again.
class PauseDetector
{
public:
    /// `readAgain` is called on the detector's own thread after a pause longer than `limit` ms.
    PauseDetector(const AK::Clock &clock, AK::Milliseconds limit, std::function<void()> readAgain);
    ~PauseDetector();
    PauseDetector(const PauseDetector &) = delete;
    PauseDetector &operator=(const PauseDetector &) = delete;

    void start();
    void stop();

    /// Returns at once unless the process was paused; then when `readAgain` has returned, after `timeout` ms at the latest.
    void waitCurrent(AK::Milliseconds timeout) const;

private:
    void loop();
    bool currentNow() const;

    const AK::Clock &clock;
    AK::Milliseconds limit;
    std::function<void()> readAgain;
    /// Clock::now() of the last sign that the process runs and is current; 0 when the detector is off.
    std::atomic<AK::Milliseconds> lastBeat{0};
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    bool stopping = false;
    std::thread thread;
};

} // namespace LibConfiguration
