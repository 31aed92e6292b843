#include "GatewaySite.h"
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;

/// A client that sends its requests on one connection.
class KeptConnection
{
public:
    explicit KeptConnection(GatewaySite &site)
        : site(site)
        , channel(*LibFiber::ByteChannel::connect(site.loop, site.loop.rootScope(), site.address, this->deadline()))
    {
    }

    /// Returns the status, or 0 when the connection ends without a response.
    int call()
    {
        kj::WaitScope &scope = this->site.loop.rootScope();
        const std::string text = "GET /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 2000\r\nX-Api-Key: k\r\n\r\n";
        if (!this->channel->write(scope, text, this->deadline()).ok()) {
            return 0;
        }
        const auto head = LibHttpStream::readHeadText(*this->channel, scope, 65536, this->deadline());
        if (!head.ok()) {
            return 0;
        }
        const auto response = LibHttpStream::parseResponseHead(*head);
        LibHttpStream::BodyReader reader(*this->channel, *LibHttpStream::responseBodyFraming("GET", *response));
        return LibHttpStream::readBody(reader, scope, 65536, this->deadline()).ok() ? response->status : 0;
    }

private:
    AK::Milliseconds deadline() const
    {
        return this->site.loop.clock().now() + callTimeout;
    }

    GatewaySite &site;
    kj::Own<LibFiber::ByteChannel> channel;
};

void setIdleTimeout(GatewaySite &site, AK::Milliseconds idleTimeout)
{
    LibFleet::Configuration configuration = *site.fleet.configuration();
    ++configuration.version;
    configuration.limits.idleTimeout = idleTimeout;
    site.fleet.setConfiguration(std::move(configuration));
}

struct IdleCase {
    const char *name;
    AK::Milliseconds before;
    AK::Milliseconds after;
    AK::Milliseconds idleFor;
    int status;
};

class IdleConnectionTest : public testing::TestWithParam<IdleCase>
{
};

// Guards against a connection that is closed by the idle timeout of an earlier configuration while the client may still use it, and its request with it.
TEST_P(IdleConnectionTest, EndsByTheTimeoutInForce)
{
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        writeResponse(scope, channel, *loop, "a1", 200, "hello", 5);
        return true;
    }});
    loop = &site.loop;
    site.configure(RouteKind::Idempotent, false, 1, callTimeout);
    setIdleTimeout(site, GetParam().before);
    KeptConnection connection(site);
    ASSERT_EQ(connection.call(), 200);
    site.loop.sleep(site.loop.rootScope(), 20);
    setIdleTimeout(site, GetParam().after);
    site.loop.sleep(site.loop.rootScope(), GetParam().idleFor);
    EXPECT_EQ(connection.call(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(Table, IdleConnectionTest,
                         testing::Values(IdleCase{"raised", 200, 5'000, 1'900, 200}, IdleCase{"lowered", 5'000, 300, 200, 200},
                                         IdleCase{"the_same", 3'000, 3'000, 1'900, 200}, IdleCase{"too_long", 200, 200, 1'900, 0},
                                         IdleCase{"too_long_after_a_raise", 100, 300, 1'900, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
