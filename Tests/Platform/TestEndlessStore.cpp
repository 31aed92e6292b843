#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/EndlessSender.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <platform/StoreClient.h>

namespace
{

constexpr uint16_t port = 17'935;
constexpr AK::Milliseconds serverTimeout = 20'000;
constexpr size_t megabyte = 1UL << 20;
/// Half of the memory of an agent.
constexpr size_t maxMemoryBytes = 64 * megabyte;
/// Size of the answers, the largest that the client has accepted.
constexpr size_t largeBytes = 15 * megabyte;
/// Size of answers within the limit on their bytes.
constexpr size_t allowedBytes = Platform::StoreLimits{}.answerBytes - 1'024;
/// The time for all pages of a list.
constexpr AK::Milliseconds maxTime = Platform::StoreLimits{}.listTime;

enum class Reading { List, Watch };

std::string object(size_t number, size_t specBytes)
{
    return AK::concat(R"({"metadata":{"name":"o)", number, R"("},"spec":")", std::string(specBytes, 'x'), "\"}");
}

/// `count` copies of a text, separated by commas.
std::string list(std::string_view text, size_t count)
{
    std::string all(text);
    for (size_t i = 1; i < count; ++i) {
        all += ',';
        all += text;
    }
    return all;
}

std::string page(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"currentRev":7,"truncated":true})";
}

struct EndlessStoreCase {
    const char *name;
    Reading reading;
    /// The answer to the call with the number, from 1.
    std::function<std::string(size_t)> answer;
    /// Time that the store takes for each answer, in ms.
    AK::Milliseconds delay = 0;
    Platform::StoreLimits limits = {};
};

class EndlessStoreTest : public testing::TestWithParam<EndlessStoreCase>
{
};

// Guards against a store whose lists have no end, or whose answers are valid and fill the memory of an agent many times over once they are decoded.
TEST_P(EndlessStoreTest, IsRefusedWithinTheLimits)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    const LibFiber::SpawnedFibersGuard guard(loop);
    size_t calls = 0;
    auto receiver = LibFiber::listenOn(loop, {Loopback::processHost(), port});
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &inner, kj::Own<kj::AsyncIoStream> stream) {
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        const AK::Milliseconds deadline = loop.clock().now() + serverTimeout;
        while (LibHttpStream::readHeadText(channel, inner, 65'536, deadline).ok()) {
            loop.sleep(inner, GetParam().delay);
            const std::string body = GetParam().answer(++calls);
            const std::string head = AK::concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n");
            if (!channel.write(inner, head, deadline).ok() || !channel.write(inner, body, deadline).ok()) {
                return;
            }
        }
    });
    Platform::StoreClient store(loop, {Loopback::processHost(), port}, GetParam().limits);
    const Loopback::MemoryGrowth growth;
    const AK::Milliseconds begin = loop.clock().now();
    const auto answer = GetParam().reading == Reading::List ? store.list(scope, LibFleet::ObjectKind::Upstreams)
                                                            : store.watch(scope, LibFleet::ObjectKind::Upstreams, 1, 1'000);
    EXPECT_FALSE(answer.ok());
    EXPECT_LT(loop.clock().now() - begin, maxTime);
    // The stand-in holds an answer too.
    EXPECT_LT(growth.largest(), maxMemoryBytes + largeBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Table, EndlessStoreTest,
    testing::Values(EndlessStoreCase{"small_pages", Reading::List,
                                     [](size_t call) {
                                         return page(object(call, 10));
                                     }},
                    EndlessStoreCase{"pages_of_many_objects", Reading::List,
                                     [](size_t call) {
                                         std::string items;
                                         for (size_t i = 0; i < 500; ++i) {
                                             items += (i == 0 ? "" : ",") + object(call * 1'000 + i, 10);
                                         }
                                         return page(items);
                                     }},
                    EndlessStoreCase{"slow_pages", Reading::List, [](size_t call) { return page(object(call, 10)); }, 20, {.listTime = 300}},
                    EndlessStoreCase{"large_pages", Reading::List,
                                     [](size_t call) {
                                         return page(object(call, largeBytes / 16));
                                     }},
                    EndlessStoreCase{"pages_of_the_largest_size", Reading::List,
                                     [](size_t call) {
                                         return page(object(call, largeBytes));
                                     }},
                    EndlessStoreCase{"many_nameless_items", Reading::List,
                                     [](size_t) {
                                         return page(list("0", largeBytes / 2));
                                     }},
                    EndlessStoreCase{"many_small_objects", Reading::List,
                                     [](size_t) {
                                         return page(list(R"({"metadata":{"name":"a"},"spec":0})", largeBytes / 35));
                                     }},
                    EndlessStoreCase{"many_fields", Reading::List,
                                     [](size_t) {
                                         return "{" + list(R"("a":0)", largeBytes / 6) + "}";
                                     }},
                    EndlessStoreCase{"many_small_objects_within_the_bytes", Reading::List,
                                     [](size_t) {
                                         return page(list(R"({"metadata":{"name":"a"},"spec":0})", allowedBytes / 36));
                                     }},
                    EndlessStoreCase{"many_fields_within_the_bytes", Reading::List,
                                     [](size_t) {
                                         return "{" + list(R"("a":0)", allowedBytes / 6) + "}";
                                     }},
                    EndlessStoreCase{"many_small_events_within_the_bytes", Reading::Watch,
                                     [](size_t) {
                                         return R"({"currentRev":7,"events":[)" + list(R"({"object":{"metadata":{"name":"a"}}})", allowedBytes / 38) + "]}";
                                     }},
                    EndlessStoreCase{"many_small_events", Reading::Watch,
                                     [](size_t) {
                                         return R"({"currentRev":7,"events":[)" + list(R"({"object":{"metadata":{"name":"a"}}})", largeBytes / 37) + "]}";
                                     }},
                    EndlessStoreCase{"many_nameless_events", Reading::Watch,
                                     [](size_t) {
                                         return R"({"currentRev":7,"events":[)" + list("0", largeBytes / 2) + "]}";
                                     }}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
