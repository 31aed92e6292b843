#include "GatewaySite.h"
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <kj/debug.h>

namespace
{

using LibFleet::RouteKind;

enum class ThrowsAt { DecodingTheRequest, EncodingTheRequest, DecodingTheResponse };
enum class Thrown { StandardException, KjException };

struct ThrowCase {
    const char *name;
    ThrowsAt place;
    Thrown thrown;
    int status;
};

/// Throws in one of its calls.
class ThrowingCodec final : public LibGateway::CallCodec
{
public:
    explicit ThrowingCodec(const ThrowCase &row)
        : row(row)
    {
    }

    absl::StatusOr<LibGateway::CallRequest> decodeRequest(const LibHttpStream::RequestHead &head) const override
    {
        this->throwAt(ThrowsAt::DecodingTheRequest);
        return this->codec.decodeRequest(head);
    }

    LibHttpStream::RequestHead encodeRequest(const LibHttpStream::RequestHead &head, const LibGateway::UpstreamTarget &target) const override
    {
        this->throwAt(ThrowsAt::EncodingTheRequest);
        return this->codec.encodeRequest(head, target);
    }

    LibGateway::ResponseInfo decodeResponse(const LibHttpStream::ResponseHead &head) const override
    {
        this->throwAt(ThrowsAt::DecodingTheResponse);
        return this->codec.decodeResponse(head);
    }

private:
    void throwAt(ThrowsAt place) const
    {
        if (place != this->row.place) {
            return;
        }
        if (this->row.thrown == Thrown::KjException) {
            KJ_FAIL_REQUIRE("thrown by the test");
        }
        throw std::out_of_range("thrown by the test");
    }

    const ThrowCase &row;
    Platform::CallHeaders codec;
};

class FailingCallTest : public testing::TestWithParam<ThrowCase>
{
};

// Guards against a whole request that gets neither an answer nor a refusal because an exception ends the fiber of its call.
TEST_P(FailingCallTest, GetsAnAnswer)
{
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        writeResponse(scope, channel, *loop, "a1", 200, "hello", 5);
        return true;
    }});
    loop = &site.loop;
    site.configure(RouteKind::AtMostOnce, false, 1, 2'000);
    const ThrowingCodec codec(GetParam());
    const AK::Endpoint address{Loopback::processHost(), static_cast<uint16_t>(site.address.port + 500)};
    Gateway::GatewayService gateway(
        {site.loop, site.fleet, codec, site.dispatcher, site.connections, site.crashes, site.quarantine, site.metrics, site.bodyMemory, site.loopWatch},
        address);
    ASSERT_TRUE(gateway.start().ok());
    site.address = address;
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, GetParam().status);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(site.dispatcher.callsInFlight(), 0);
    EXPECT_EQ(gateway.callsInProgress(), 0U);
    site.loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, FailingCallTest,
                         testing::Values(ThrowCase{"before_it_is_sent", ThrowsAt::DecodingTheRequest, Thrown::StandardException, 503},
                                         ThrowCase{"as_it_is_sent", ThrowsAt::EncodingTheRequest, Thrown::StandardException, 502},
                                         ThrowCase{"after_it_has_run", ThrowsAt::DecodingTheResponse, Thrown::StandardException, 502},
                                         ThrowCase{"after_it_has_run_by_the_event_loop", ThrowsAt::DecodingTheResponse, Thrown::KjException, 502}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
