#include "Fleet.h"

#include <LibHttp/HttpServer.h>
#include <LibWeights/OriginRead.h>
#include <gtest/gtest.h>

namespace
{

// Guards against an origin that stalls in the middle of a body and blocks the thread for designated chunks for CivetWeb's 30 s.
TEST(OriginRead, StalledBodyEndsAtTheDeadline)
{
    FleetTest::Fleet fleet({.regions = {"a"}});
    const AK::Endpoint endpoint{fleet.agents[0]->settings.agent.weightStore.host, 7309};
    std::mutex mutex;
    std::condition_variable changed;
    bool released = false;
    LibHttp::HttpServer origin(endpoint, {4, size_t{1} << 20}, [&](LibHttp::HttpExchange &exchange) {
        if (exchange.beginStream(206, {})) {
            (void)exchange.writeChunk("x");
        }
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return released; });
    });
    ASSERT_TRUE(origin.start().ok());
    const auto read = LibWeights::readOriginRange(endpoint, {.path = "/file"}, 100, 300, [] { return false; });
    // The server has not been released, so only the deadline can have ended the read.
    EXPECT_EQ(read.status().code(), absl::StatusCode::kDeadlineExceeded) << read.status();
    {
        const std::lock_guard lock(mutex);
        released = true;
    }
    changed.notify_all();
    origin.stop();
}

} // namespace
