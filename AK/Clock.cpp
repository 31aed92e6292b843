#include <AK/Clock.h>

#include <chrono>
#include <ctime>
#include <thread>

namespace AK
{

Milliseconds SystemClock::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Milliseconds SystemClock::uninterruptedTime() const
{
    // CLOCK_MONOTONIC, which is behind now(), does not count the time for which the host is suspended.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)).count();
}

Milliseconds SystemClock::wallTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void SystemClock::sleep(Milliseconds duration) const
{
    if (duration > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
    }
}

} // namespace AK
