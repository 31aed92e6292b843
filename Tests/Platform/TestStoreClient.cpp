#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <platform/StoreClient.h>

namespace
{

constexpr AK::Milliseconds timeout = 5'000;
constexpr uint16_t port = 17'930;

struct EraCase {
    const char *name;
    std::string statusLine;
    std::string eraHeader;
    std::string body;
    absl::StatusCode code;
    int64_t era;
};

class StoreEraTest : public testing::TestWithParam<EraCase>
{
};

// Guards against a restored store that is noticed only by the responses that carry objects: a 410 and a failed call show its era too.
TEST_P(StoreEraTest, ReportsTheEraOfEachResponse)
{
    LibFiber::Loop loop;
    auto receiver = LibFiber::listenOn(loop, {Loopback::processHost(), port});
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        const std::string response = "HTTP/1.1 " + GetParam().statusLine + "\r\n" + GetParam().eraHeader
            + "Content-Length: " + std::to_string(GetParam().body.size()) + "\r\n\r\n" + GetParam().body;
        while (LibHttpStream::readHeadText(channel, scope, 65'536, loop.clock().now() + timeout).ok()
               && channel.write(scope, response, loop.clock().now() + timeout).ok()) {}
    });
    Platform::StoreClient store(loop, {Loopback::processHost(), port});
    std::vector<int64_t> eras;
    store.observeEra([&](int64_t era) { eras.push_back(era); });
    const absl::StatusOr<LibFleet::ObjectPage> page = store.list(loop.rootScope(), LibFleet::ObjectKind::Upstreams);
    EXPECT_EQ(page.status().code(), GetParam().code) << page.status();
    EXPECT_EQ(eras, (std::vector<int64_t>{GetParam().era}));
    if (page.ok()) {
        EXPECT_EQ(page->position, LibFleet::StorePosition(7, GetParam().era));
        ASSERT_EQ(page->objects.size(), 1U);
        EXPECT_EQ(page->objects.front().revision, 5);
    }
    loop.cancelSpawned();
}

const std::string oneObject = R"({"items":[{"metadata":{"name":"a","revision":5},"spec":{}}],"currentRev":7,"truncated":false})";

INSTANTIATE_TEST_SUITE_P(Table, StoreEraTest,
                         testing::Values(EraCase{"list", "200 OK", "Store-Era: 3\r\n", oneObject, absl::StatusCode::kOk, 3},
                                         EraCase{"no_header", "200 OK", "", oneObject, absl::StatusCode::kOk, 0},
                                         EraCase{"unreadable", "200 OK", "Store-Era: x\r\n", oneObject, absl::StatusCode::kOk, 0},
                                         EraCase{"history_gone", "410 Gone", "Store-Era: 3\r\n", "{}", absl::StatusCode::kOutOfRange, 3},
                                         EraCase{"refused", "503 Busy", "Store-Era: 4\r\n", "{}", absl::StatusCode::kUnavailable, 4}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
