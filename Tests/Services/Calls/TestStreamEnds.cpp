#include <Entry/CallerResponse.h>
#include <LibHttp/HttpClient.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds callTimeout = 5'000;
const std::string event = "data: word\n\n";
const std::string marker = "data: [DONE]\n\n";

/// What becomes of a stream after its end marker has come from the agent.
enum class Outcome { Complete, Aborted, EntryEnds };

struct StreamEndCase {
    const char *name;
    Outcome outcome;
    bool markerSent;
};

class StreamEndTest : public testing::TestWithParam<StreamEndCase>
{
};

// Guards against a stream that ends early and looks complete to a caller that goes by the end marker: it was sent before the outcome of the call was known.
TEST_P(StreamEndTest, SendsTheMarkerOnlyWithTheEnd)
{
    static uint16_t port = 17'960;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const AK::SystemClock clock;
    LibMetrics::MetricRegistry metrics;
    LibHttp::HttpServer server(address, {}, [&](LibHttp::HttpExchange &exchange) {
        Entry::CallerResponse response(exchange, true, clock, clock.now(), metrics);
        response.begin(200, {{"content-type", "text/event-stream"}});
        response.append(event);
        response.append(marker);
        if (GetParam().outcome == Outcome::Complete) {
            response.finishStream();
        } else if (GetParam().outcome == Outcome::Aborted) {
            response.abortStream("{}");
        }
    });
    ASSERT_TRUE(server.start().ok());
    LibHttp::HttpRequest request;
    request.method = "GET";
    request.path = "/";
    const auto stream = LibHttp::HttpStream::open(address, request, callTimeout);
    ASSERT_TRUE(stream.ok()) << stream.status();
    std::string body;
    bool complete = false;
    while (true) {
        const auto line = (*stream)->readLine();
        if (!line.ok() || !line->has_value()) {
            complete = line.ok();
            break;
        }
        body += **line + "\n";
    }
    EXPECT_TRUE(body.starts_with(event)) << body;
    EXPECT_EQ(body.find(marker) != std::string::npos, GetParam().markerSent) << body;
    EXPECT_EQ(complete, GetParam().outcome == Outcome::Complete) << body;
}

INSTANTIATE_TEST_SUITE_P(Table, StreamEndTest,
                         testing::Values(StreamEndCase{"complete", Outcome::Complete, true}, StreamEndCase{"aborted", Outcome::Aborted, false},
                                         StreamEndCase{"entry_ends", Outcome::EntryEnds, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
