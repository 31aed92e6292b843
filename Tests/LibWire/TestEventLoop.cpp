#include <LibWire/EventLoop.h>
#include <gtest/gtest.h>

namespace
{

// Guards against timeouts that count from the last turn of the event loop: a thread that had been idle for longer than the timeout then gave up at once.
TEST(WaitFor, MeasuresTheTimeoutFromNowAfterIdling)
{
    constexpr AK::Milliseconds idleMs = 300;
    constexpr AK::Milliseconds timeoutMs = 200;
    const AK::SystemClock clock;
    auto &loop = LibWire::threadEventLoop();
    loop.waitScope.poll();
    clock.sleep(idleMs);
    const AK::Milliseconds start = clock.now();
    const absl::StatusOr<bool> result = LibWire::waitFor<bool>(kj::Promise<bool>(kj::NEVER_DONE), timeoutMs, loop.waitScope);
    EXPECT_EQ(result.status().code(), absl::StatusCode::kDeadlineExceeded);
    // Clocks in whole milliseconds may differ by one.
    EXPECT_GE(clock.now() - start, timeoutMs - 1);
}

} // namespace
