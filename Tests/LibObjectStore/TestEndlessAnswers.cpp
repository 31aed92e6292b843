#include <LibObjectStore/HttpObjectStore.h>
#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using LibObjectStore::HttpObjectStore;
using Loopback::EndlessBytes;

constexpr AK::Milliseconds callTimeout = 300;
// What the client adds to the wait of a watch.
constexpr AK::Milliseconds watchMargin = 2'000;
// A thread that is ready to run may wait this long on a busy machine.
constexpr AK::Milliseconds schedulingMargin = 1'000;
// A store that is still read after this long is not cut off at all.
constexpr AK::Milliseconds serverLimit = 6'000;
constexpr size_t headLimitBytes = size_t{16} << 10;
constexpr size_t answerLimitBytes = size_t{16} << 20;
constexpr AK::Milliseconds tricklePause = 20;

const std::string block(size_t{16} << 10, ' ');
const std::string startLine = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = startLine + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &text)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

enum class Request { Get, List, Hosts, Watch, Create };

struct AnswerCase {
    const char *name;
    Request request;
    EndlessBytes bytes;
    size_t limitBytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const AnswerCase &answer, std::ostream *out)
{
    *out << answer.name;
}

absl::Status send(HttpObjectStore &store, Request request)
{
    switch (request) {
    case Request::Get:
        return store.get("configuration", "site", callTimeout).status();
    case Request::List:
        return store.list("claims", "", callTimeout).status();
    case Request::Hosts:
        return store.hosts(callTimeout).status();
    case Request::Watch:
        return store.watch("configuration", "site", 1, callTimeout).status();
    case Request::Create:
        return store.create("claims", "a", "{}", callTimeout).status();
    }
    return absl::OkStatus();
}

class EndlessAnswerTest : public testing::TestWithParam<AnswerCase>
{
};

// Guards against a store that sends bytes without end and so fills the memory of each process that reads it, or holds the thread that watches the configuration
// or claims a call.
TEST_P(EndlessAnswerTest, IsCutOffByItsSizeOrByTheTimeout)
{
    static uint16_t port = 17'500;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const AK::SystemClock clock;
    Loopback::EndlessServer server(address, GetParam().bytes, serverLimit);
    HttpObjectStore store(address);
    const AK::Milliseconds limit = callTimeout + (GetParam().request == Request::Watch ? watchMargin : 0) + schedulingMargin;
    const AK::Milliseconds started = clock.now();
    const absl::Status status = send(store, GetParam().request);
    EXPECT_FALSE(status.ok());
    EXPECT_EQ(LibObjectStore::mayHaveTakenEffect(status), GetParam().request == Request::Create) << status;
    EXPECT_LE(clock.now() - started, limit) << status;
    for (const Loopback::EndlessResult &result : server.results()) {
        EXPECT_TRUE(result.closed) << status;
        EXPECT_LE(result.bytes, GetParam().limitBytes + Loopback::socketBufferBytes()) << status;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, EndlessAnswerTest,
    testing::Values(AnswerCase{"head", Request::Get, {startLine + "X-More: ", std::string(block.size(), 'x')}, headLimitBytes},
                    AnswerCase{"head_of_change", Request::Create, {startLine + "X-More: ", std::string(block.size(), 'x')}, headLimitBytes},
                    AnswerCase{"body", Request::Get, {chunkedHead, chunk(block)}, answerLimitBytes},
                    AnswerCase{"body_trickle", Request::Get, {chunkedHead, chunk(" "), tricklePause}, answerLimitBytes},
                    AnswerCase{"body_of_change", Request::Create, {chunkedHead, chunk(block)}, answerLimitBytes},
                    AnswerCase{"body_of_change_trickle", Request::Create, {chunkedHead, chunk(" "), tricklePause}, answerLimitBytes},
                    AnswerCase{"list",
                               Request::List,
                               {chunkedHead + chunk("{\"objects\":[{\"name\":\"a\",\"version\":1,\"value\":1}"),
                                chunk(",{\"name\":\"a\",\"version\":1,\"value\":1}" + block)},
                               answerLimitBytes},
                    AnswerCase{"list_trickle",
                               Request::List,
                               {chunkedHead + chunk("{\"objects\":[{\"name\":\"a\",\"version\":1,\"value\":1}"),
                                chunk(",{\"name\":\"a\",\"version\":1,\"value\":1}"), tricklePause},
                               answerLimitBytes},
                    AnswerCase{"hosts",
                               Request::Hosts,
                               {chunkedHead + chunk("{\"hosts\":[{\"name\":\"a\",\"address\":\"b\",\"state\":\"live\"}"),
                                chunk(",{\"name\":\"a\",\"address\":\"b\",\"state\":\"live\"}" + block)},
                               answerLimitBytes},
                    AnswerCase{"watch", Request::Watch, {chunkedHead, chunk("{\"version\":2,\"value\":{}}" + block)}, answerLimitBytes},
                    AnswerCase{"watch_trickle", Request::Watch, {chunkedHead, chunk("{\"version\":2,\"value\":{}}"), tricklePause}, answerLimitBytes}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
