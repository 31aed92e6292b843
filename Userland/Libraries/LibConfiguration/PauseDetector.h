#pragma once

#include <AK/Clock.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace LibConfiguration
{

/// Detects that this process did not run for a while, for example because it was stopped or its host was suspended, and then refreshes its state.
class PauseDetector
{
public:
    /// `refresh` is called on the detector's own thread after a pause longer than `limit` ms.
    PauseDetector(const AK::Clock &clock, AK::Milliseconds limit, std::function<void()> refresh);
    ~PauseDetector();
    PauseDetector(const PauseDetector &) = delete;
    PauseDetector &operator=(const PauseDetector &) = delete;

    void start();
    void stop();

    /// Returns at once unless the process was paused; otherwise blocks until `refresh` has returned or `timeout` ms have passed.
    void waitUntilCurrent(AK::Milliseconds timeout) const;

private:
    void loop();
    bool isCurrent() const;

    const AK::Clock &clock;
    AK::Milliseconds limit;
    std::function<void()> refresh;
    /// Clock::now() when the loop last found the process running with current state; 0 when the detector is off.
    std::atomic<AK::Milliseconds> lastHeartbeat{0};
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    bool stopping = false;
    std::thread thread;
};

} // namespace LibConfiguration
