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

/// What the double does with a request.
enum class Reaction { Answer, Abandon, CutBody, Silent };

struct StoreCase {
    const char *name;
    Reaction reaction = Reaction::Answer;
    int status = 200;
    std::string body;
    /// Of a conditional update, a create and a removal.
    absl::StatusCode change = absl::StatusCode::kOk;
    absl::StatusCode read = absl::StatusCode::kOk;
    /// The answer to a removal has no content that could be malformed.
    bool removalIsOk = false;
};

// Named by GoogleTest.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const StoreCase &store, std::ostream *out)
{
    *out << store.name;
}

AK::Endpoint ownEndpoint()
{
    const int pid = ::getpid();
    return {AK::concat("127.", 20 + pid / 250 % 200, ".", pid % 250, ".1"), 7300};
}

class HttpObjectStoreTest : public testing::TestWithParam<StoreCase>
{
protected:
    HttpObjectStoreTest()
        : server(ownEndpoint(), {}, [this](LibHttp::HttpExchange &exchange) { this->react(exchange); })
        , store(ownEndpoint())
    {
    }

    void react(LibHttp::HttpExchange &exchange)
    {
        switch (GetParam().reaction) {
        case Reaction::Answer:
            exchange.respond(LibHttp::jsonResponse(GetParam().status, GetParam().body));
            return;
        case Reaction::Abandon:
            exchange.abandon();
            return;
        case Reaction::CutBody:
            exchange.beginStream(200, {{"content-type", "application/json"}});
            exchange.writeChunk(R"({"version":8)");
            return;
        case Reaction::Silent:
            AK::SystemClock().sleep(4 * shortTimeoutMs);
            exchange.abandon();
        }
    }

    AK::Milliseconds timeout() const
    {
        return GetParam().reaction == Reaction::Silent ? shortTimeoutMs : timeoutMs;
    }

    LibHttp::HttpServer server;
    HttpObjectStore store;
};

// Guards against a change whose answer was lost or unreadable passing for one without effect, which would let a call be told "not run" or be claimed again,
// and against a refused change passing for one that may have taken effect.
TEST_P(HttpObjectStoreTest, MapsEachAnswer)
{
    ASSERT_TRUE(this->server.start().ok());
    const auto created = this->store.create("claims", "a", "{}", this->timeout());
    const auto replaced = this->store.replace("claims", "a", version, "{}", this->timeout());
    const absl::Status removed = this->store.remove("claims", "a", version, this->timeout());
    const auto read = this->store.get("claims", "a", this->timeout());
    EXPECT_EQ(created.status().code(), GetParam().change) << created.status();
    EXPECT_EQ(replaced.status().code(), GetParam().change) << replaced.status();
    EXPECT_EQ(removed.code(), GetParam().removalIsOk ? absl::StatusCode::kOk : GetParam().change) << removed;
    EXPECT_EQ(read.status().code(), GetParam().read) << read.status();
    if (created.ok()) {
        EXPECT_EQ(*created, 8U);
    }
    const bool refused = GetParam().change == absl::StatusCode::kFailedPrecondition || GetParam().change == absl::StatusCode::kNotFound
        || GetParam().change == absl::StatusCode::kResourceExhausted || GetParam().change == absl::StatusCode::kInvalidArgument;
    EXPECT_EQ(LibObjectStore::mayHaveTakenEffect(created.status()), !created.ok() && !refused);
}

using Code = absl::StatusCode;

INSTANTIATE_TEST_SUITE_P(
    Table, HttpObjectStoreTest,
    testing::Values(StoreCase{"confirmed", Reaction::Answer, 200, R"({"version":8,"value":{}})", Code::kOk, Code::kOk},
                    StoreCase{"lost_answer", Reaction::Abandon, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"cut_answer", Reaction::CutBody, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"silent", Reaction::Silent, 0, "", Code::kDeadlineExceeded, Code::kUnavailable},
                    StoreCase{"absent_404", Reaction::Answer, 404, "{}", Code::kNotFound, Code::kNotFound},
                    StoreCase{"conflict_409", Reaction::Answer, 409, "{}", Code::kFailedPrecondition, Code::kFailedPrecondition},
                    StoreCase{"condition_412", Reaction::Answer, 412, "{}", Code::kFailedPrecondition, Code::kFailedPrecondition},
                    StoreCase{"too_large_413", Reaction::Answer, 413, "{}", Code::kInvalidArgument, Code::kInvalidArgument},
                    StoreCase{"invalid_400", Reaction::Answer, 400, "{}", Code::kInvalidArgument, Code::kInvalidArgument},
                    StoreCase{"rate_429", Reaction::Answer, 429, "{}", Code::kResourceExhausted, Code::kResourceExhausted},
                    StoreCase{"error_500", Reaction::Answer, 500, "{}", Code::kUnknown, Code::kUnknown},
                    StoreCase{"error_503", Reaction::Answer, 503, "{}", Code::kUnknown, Code::kUnknown},
                    StoreCase{"timeout_504", Reaction::Answer, 504, "", Code::kUnknown, Code::kUnknown},
                    StoreCase{"no_json", Reaction::Answer, 200, "accepted", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"no_object", Reaction::Answer, 200, "[8]", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"no_version", Reaction::Answer, 200, R"({"value":{}})", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"negative_version", Reaction::Answer, 200, R"({"version":-8,"value":{}})", Code::kDataLoss, Code::kDataLoss, true},
                    StoreCase{"huge", Reaction::Answer, 200, std::string(size_t{17} << 20, ' '), Code::kDeadlineExceeded, Code::kUnavailable}),
    [](const auto &info) { return info.param.name; });

// Guards against a refused connection passing for a lost answer: such a change had no effect.
TEST(HttpObjectStoreWithoutServer, SaysThatNothingWasSent)
{
    HttpObjectStore store(ownEndpoint());
    EXPECT_EQ(store.create("claims", "a", "{}", timeoutMs).status().code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(store.remove("claims", "a", version, timeoutMs).code(), absl::StatusCode::kUnavailable);
    EXPECT_FALSE(LibObjectStore::mayHaveTakenEffect(store.replace("claims", "a", version, "{}", timeoutMs).status()));
}

} // namespace
