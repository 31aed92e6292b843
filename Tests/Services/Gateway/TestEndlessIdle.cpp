#include "GatewaySite.h"
#include <Loopback/EndlessSender.h>
#include <gtest/gtest.h>

namespace
{

using Loopback::EndlessSender;

constexpr uint16_t port = 17'965;
constexpr AK::Milliseconds connectTimeout = 1'000;
constexpr AK::Milliseconds keepAlive = 5'000;
/// Time in which the connection is idle, longer than the interval at which unusable ones are closed.
constexpr AK::Milliseconds idleTime = 1'500;
/// Memory of a connection that is read once.
constexpr size_t connectionBytes = 1UL << 20;

// Guards against an upstream that sends bytes without end over a connection on which no call runs, which filled the memory of an entry if it read on.
TEST(EndlessIdle, ClosesTheConnection)
{
    GatewaySite site({});
    kj::WaitScope &scope = site.loop.rootScope();
    const AK::Endpoint address{site.address.host, port};
    // Connections to an upstream that is not registered are closed in any case.
    LibFleet::UpstreamRecord record;
    record.id = "i-1";
    record.address = address;
    site.fleet.setUpstreams({{record.id, record}});
    const EndlessSender upstream(EndlessSender::Role::Server, address, {"", std::string(16'384, 'x')});
    const Loopback::MemoryGrowth growth;
    auto opened = site.connections.open(scope, address, true, site.loop.clock().now() + connectTimeout);
    ASSERT_TRUE(opened.ok()) << opened.status();
    ASSERT_TRUE(opened->channel->write(scope, "x", site.loop.clock().now() + connectTimeout).ok());
    site.connections.release(address, kj::mv(opened->channel), keepAlive);
    site.loop.sleep(scope, idleTime);
    EXPECT_EQ(upstream.closedConnections(), 1);
    EXPECT_LE(upstream.bytesSent(), EndlessSender::socketBytes + connectionBytes);
    EXPECT_LT(growth.largest(), connectionBytes);
}

} // namespace
