#include <AK/Text.h>
#include <LibHttp/HttpServer.h>
#include <LibObjectStore/HttpObjectStore.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace
{

using LibObjectStore::HttpObjectStore;

constexpr AK::Milliseconds timeoutMs = 2'000;
constexpr AK::Milliseconds shortTimeoutMs = 100;
constexpr uint64_t version = 7;

/// How the fake server handles a request.
enum class ServerBehavior { Respond, Abandon, TruncateBody, Stall };

struct StoreCase {
    const char *name;
    ServerBehavior behavior = ServerBehavior::Respond;
    int status = 200;
    std::string body;
    /// Status code of a create, a conditional update and a removal.
    absl::StatusCode changeCode = absl::StatusCode::kOk;
    /// Status code of a read.
    absl::StatusCode readCode = absl::StatusCode::kOk;
    /// Set where a malformed body does not matter to a removal, whose response has no content.
    bool removalIsOk = false;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const StoreCase &store, std::ostream *out)
{
    *out << store.name;
}

AK::Endpoint uniqueEndpoint()
{
    const int pid = ::getpid();
    return {AK::concat("127.", 20 + pid / 250 % 200, ".", pid % 250, ".1"), 7300};
}

class HttpObjectStoreTest : public testing::TestWithParam<StoreCase>
{
protected:
    HttpObjectStoreTest()
        : server(uniqueEndpoint(), {}, [this](LibHttp::HttpExchange &exchange) { this->handle(exchange); })
        , store(uniqueEndpoint())
    {
    }

    void handle(LibHttp::HttpExchange &exchange)
    {
        switch (GetParam().behavior) {
        case ServerBehavior::Respond:
            exchange.respond(LibHttp::jsonResponse(GetParam().status, GetParam().body));
            return;
        case ServerBehavior::Abandon:
            exchange.abandon();
            return;
        case ServerBehavior::TruncateBody:
            exchange.beginStream(200, {{"content-type", "application/json"}});
            exchange.writeChunk(R"({"version":8)");
            return;
        case ServerBehavior::Stall:
            AK::SystemClock().sleep(4 * shortTimeoutMs);
            exchange.abandon();
        }
    }

    AK::Milliseconds timeout() const
    {
        return GetParam().behavior == ServerBehavior::Stall ? shortTimeoutMs : timeoutMs;
    }

    LibHttp::HttpServer server;
    HttpObjectStore store;
};

// Guards against a change whose response was lost or malformed being reported as without effect, which would let a call be reported as not run or claimed
// again, and against a refused change being reported as one that may have taken effect.
TEST_P(HttpObjectStoreTest, MapsEachResponseToAStatus)
{
    ASSERT_TRUE(this->server.start().ok());
    const auto created = this->store.create("claims", "a", "{}", this->timeout());
    const auto replaced = this->store.replace("claims", "a", version, "{}", this->timeout());
    const absl::Status removed = this->store.remove("claims", "a", version, this->timeout());
    const auto read = this->store.get("claims", "a", this->timeout());
    EXPECT_EQ(created.status().code(), GetParam().changeCode) << created.status();
    EXPECT_EQ(replaced.status().code(), GetParam().changeCode) << replaced.status();
    EXPECT_EQ(removed.code(), GetParam().removalIsOk ? absl::StatusCode::kOk : GetParam().changeCode) << removed;
    EXPECT_EQ(read.status().code(), GetParam().readCode) << read.status();
    if (created.ok()) {
        EXPECT_EQ(*created, 8U);
    }
    const bool refused = GetParam().changeCode == absl::StatusCode::kFailedPrecondition || GetParam().changeCode == absl::StatusCode::kNotFound
        || GetParam().changeCode == absl::StatusCode::kResourceExhausted || GetParam().changeCode == absl::StatusCode::kInvalidArgument;
    EXPECT_EQ(LibObjectStore::mayHaveTakenEffect(created.status()), !created.ok() && !refused);
}

using Code = absl::StatusCode;

INSTANTIATE_TEST_SUITE_P(
    Table, HttpObjectStoreTest,
    testing::Values(StoreCase{"confirmed", ServerBehavior::Respond, 200, R"({"version":8,"value":{}})", Code::kOk, Code::kOk},
                    StoreCase{"lost_response", ServerBehavior::Abandon, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"truncated_response", ServerBehavior::TruncateBody, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"stalled", ServerBehavior::Stall, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"absent_404", ServerBehavior::Respond, 404, "{}", Code::kNotFound, Code::kNotFound},
                    StoreCase{"conflict_409", ServerBehavior::Respond, 409, "{}", Code::kFailedPrecondition, Code::kFailedPrecondition},
                    StoreCase{"condition_412", ServerBehavior::Respond, 412, "{}", Code::kFailedPrecondition, Code::kFailedPrecondition},
                    StoreCase{"too_large_413", ServerBehavior::Respond, 413, "{}", Code::kInvalidArgument, Code::kInvalidArgument},
                    StoreCase{"invalid_400", ServerBehavior::Respond, 400, "{}", Code::kInvalidArgument, Code::kInvalidArgument},
                    StoreCase{"rate_429", ServerBehavior::Respond, 429, "{}", Code::kResourceExhausted, Code::kResourceExhausted},
                    StoreCase{"error_500", ServerBehavior::Respond, 500, "{}", Code::kUnknown, Code::kUnknown},
                    StoreCase{"error_503", ServerBehavior::Respond, 503, "{}", Code::kUnknown, Code::kUnknown},
                    StoreCase{"timeout_504", ServerBehavior::Respond, 504, "", Code::kUnknown, Code::kUnknown},
                    StoreCase{"no_json", ServerBehavior::Respond, 200, "accepted", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"no_object", ServerBehavior::Respond, 200, "[8]", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"no_version", ServerBehavior::Respond, 200, R"({"value":{}})", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"negative_version", ServerBehavior::Respond, 200, R"({"version":-8,"value":{}})", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"huge", ServerBehavior::Respond, 200, std::string(size_t{17} << 20, ' '), Code::kDeadlineExceeded, Code::kUnavailable}),
    [](const auto &info) { return info.param.name; });

// Guards against a refused connection being reported as a lost response: the change had no effect.
TEST(HttpObjectStoreWithoutServer, ReportsThatNothingWasSent)
{
    HttpObjectStore store(uniqueEndpoint());
    EXPECT_EQ(store.create("claims", "a", "{}", timeoutMs).status().code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(store.remove("claims", "a", version, timeoutMs).code(), absl::StatusCode::kUnavailable);
    EXPECT_FALSE(LibObjectStore::mayHaveTakenEffect(store.replace("claims", "a", version, "{}", timeoutMs).status()));
}

} // namespace
