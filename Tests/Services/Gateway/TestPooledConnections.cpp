#include "GatewaySite.h"
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;

/// What becomes of the registration of the upstream after a call.
enum class RegistrationFate { Kept, Removed, Moved, Draining };

struct PooledCase {
    const char *name;
    /// Value of the Keep-Alive header of the response.
    const char *keepAlive;
    RegistrationFate fate;
    int openAfterwards;
};

class PooledConnectionTest : public testing::TestWithParam<PooledCase>
{
};

// Guards against idle connections to upstreams that are gone, which stayed open until the next call to the same address.
TEST_P(PooledConnectionTest, IsClosedInBoundedTimeWithoutAnotherCall)
{
    // Below the time after which the fake upstream ends an idle connection itself.
    constexpr AK::Milliseconds bound = 3'500;
    constexpr AK::Milliseconds step = 20;
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        writeResponse(scope, channel, *loop, "a1", 200, "hello", 5, {{"Keep-Alive", GetParam().keepAlive}});
        return true;
    }});
    loop = &site.loop;
    site.configure(RouteKind::Idempotent, false, 1, callTimeout);
    ASSERT_EQ(site.call({{"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "2000"}}).status, 200);
    ASSERT_EQ(site.upstreams[0]->openConnections, 1);
    std::map<std::string, LibFleet::UpstreamRecord> records = site.fleet.upstreams();
    switch (GetParam().fate) {
    case RegistrationFate::Kept:
        break;
    case RegistrationFate::Removed:
        records.clear();
        break;
    case RegistrationFate::Moved:
        ++records.at("i-1").address.port;
        break;
    case RegistrationFate::Draining:
        records.at("i-1").state = LibFleet::UpstreamState::Draining;
        break;
    }
    site.fleet.setUpstreams(records);
    const AK::Milliseconds until = loop->clock().now() + bound;
    while (loop->clock().now() < until && site.upstreams[0]->openConnections > 0) {
        loop->sleep(loop->rootScope(), step);
    }
    EXPECT_EQ(site.upstreams[0]->openConnections, GetParam().openAfterwards);
    EXPECT_EQ(site.upstreams[0]->connections, 1);
}

INSTANTIATE_TEST_SUITE_P(Table, PooledConnectionTest,
                         testing::Values(PooledCase{"upstream_removed", "timeout=3600", RegistrationFate::Removed, 0},
                                         PooledCase{"upstream_moved", "timeout=3600", RegistrationFate::Moved, 0},
                                         PooledCase{"upstream_draining", "timeout=3600", RegistrationFate::Draining, 1},
                                         PooledCase{"upstream_kept", "timeout=3600", RegistrationFate::Kept, 1},
                                         PooledCase{"time_to_keep_is_over", "timeout=2", RegistrationFate::Kept, 0},
                                         PooledCase{"no_time_stated", "", RegistrationFate::Kept, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
