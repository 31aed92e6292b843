#include <LibWire/EventLoop.h>
#include <gtest/gtest.h>

namespace
{

// Guards against deadlines that count from the last turn of the event loop: a thread that was idle for longer than the time limit then gave up at once.
TEST(WaitFor, CountsFromNowAfterAnIdleSpan)
{
    constexpr AK::Milliseconds idleMs = 300;
    constexpr AK::Milliseconds limitMs = 200;
    const AK::SystemClock clock;
    auto &loop = LibWire::threadEventLoop();
    loop.waitScope.poll();
    clock.sleep(idleMs);
    const AK::Milliseconds start = clock.now();
    const absl::StatusOr<bool> result = LibWire::waitFor<bool>(kj::Promise<bool>(kj::NEVER_DONE), limitMs, loop.waitScope);
    EXPECT_EQ(result.status().code(), absl::StatusCode::kDeadlineExceeded);
    // Clocks in whole milliseconds may differ by one.
    EXPECT_GE(clock.now() - start, limitMs - 1);
}

} // namespace
