#include "Explorer.h"
#include <LibOnce/ClaimRunner.h>
#include <future>
#include <gtest/gtest.h>

namespace
{

using LibOnce::DispatchResult;
using LibOnce::Outcome;

struct TableCase {
    const char *name;
    const char *existingState; // of a claim of another process in the store; "" when there is none
    std::vector<StoreFault> faults; // of the first store calls, in order
    Outcome dispatchOutcome;
    Outcome expectedOutcome;
    int expectedStatus;
    int expectedDispatches;
    const char *recordedState; // after the background pass; "" when there is no claim
};

class OutcomeTable : public testing::TestWithParam<TableCase>
{
protected:
    LibOnce::OnceResult sendRequest(const std::string &body = "body")
    {
        const LibOnce::OnceRequest request{"account", "orders", "POST", "/confirm", "key", body};
        return this->runner.run(request, [this](const std::string &, AK::Milliseconds startBefore) {
            ++this->dispatches;
            EXPECT_EQ(startBefore, this->clock.now() + 2'000);
            return DispatchResult{this->dispatchOutcome, {200, {}, this->upstreamBody}, ""};
        });
    }

    std::string state()
    {
        return this->store.objects.empty()
            ? ""
            : std::string(AK::nameOf(LibOnce::claimStateNames, LibOnce::parseClaim(this->store.objects.begin()->second.value)->state));
    }

    ManualClock clock;
    MemoryStore store;
    LibMetrics::MetricRegistry metrics;
    LibOnce::ClaimRunner runner{LibSettings::ProcessSettings{}, this->clock, this->store, this->metrics};
    Outcome dispatchOutcome = Outcome::Done;
    std::string upstreamBody = "shipped";
    int dispatches = 0;
};

// Guards against a result, a dispatch or a recorded state that differs from the table in section 5.6 of the design page.
TEST_P(OutcomeTable, MatchesDesign)
{
    const TableCase &row = GetParam();
    if (*row.existingState != '\0') {
        LibOnce::ClaimRecord record;
        record.state = *AK::valueOf(LibOnce::claimStateNames, row.existingState);
        record.nonce = "other";
        record.bodyDigest = LibOnce::claimBodyDigest({"", "", "", "", "", "body"});
        record.recordedResponse = LibOnce::toRecordedResponse({200, {}, "shipped"});
        const std::string name = LibOnce::claimName({"account", "orders", "POST", "/confirm", "key", ""});
        ASSERT_TRUE(this->store.create("claims", name, LibOnce::serializeClaim(record), 0).ok());
    }
    size_t call = 0;
    this->store.beforeCall = [&](bool) {
        return call < row.faults.size() ? row.faults[call++] : StoreFault::None;
    };
    this->dispatchOutcome = row.dispatchOutcome;
    const auto result = this->sendRequest();
    EXPECT_EQ(result.outcome, row.expectedOutcome) << result.reason;
    EXPECT_EQ(result.response.status, row.expectedStatus);
    EXPECT_EQ(this->dispatches, row.expectedDispatches);
    this->runner.recordPending(true);
    EXPECT_EQ(this->state(), row.recordedState);
}

constexpr auto ok = StoreFault::None;
constexpr auto down = StoreFault::Unavailable;
constexpr auto responseLost = StoreFault::ResponseLost;
constexpr auto requestLost = StoreFault::RequestLost;

INSTANTIATE_TEST_SUITE_P(Rows, OutcomeTable,
                         testing::Values(TableCase{"created", "", {}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"exists done", "done", {}, Outcome::Done, Outcome::Done, 200, 0, "done"},
                                         TableCase{"exists claimed", "claimed", {}, Outcome::Done, Outcome::Unknown, 409, 0, "claimed"},
                                         TableCase{"exists unknown", "unknown", {}, Outcome::Done, Outcome::Unknown, 409, 0, "unknown"},
                                         TableCase{"exists not_run", "not_run", {}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"exists, unreadable", "done", {ok, down}, Outcome::Done, Outcome::Unknown, 503, 0, "done"},
                                         TableCase{"response lost, our nonce", "", {responseLost}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"request lost, absent", "", {requestLost}, Outcome::Done, Outcome::NotRun, 503, 0, ""},
                                         TableCase{"response lost, unreachable", "", {responseLost, down}, Outcome::Done, Outcome::NotRun, 503, 0, "not_run"},
                                         TableCase{"re-claim lost, our nonce", "not_run", {ok, ok, responseLost}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"store down before", "", {down}, Outcome::Done, Outcome::NotRun, 503, 0, ""},
                                         TableCase{"refused by agents", "", {}, Outcome::NotRun, Outcome::NotRun, 503, 1, "not_run"},
                                         TableCase{"refused, record lost", "", {ok, down}, Outcome::NotRun, Outcome::NotRun, 503, 1, "not_run"},
                                         TableCase{"connection lost", "", {}, Outcome::Unknown, Outcome::Unknown, 504, 1, "unknown"},
                                         TableCase{"store down after", "", {ok, down}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"response to record lost", "", {ok, responseLost}, Outcome::Done, Outcome::Done, 200, 1, "done"}),
                         [](const auto &info) {
                             std::string name;
                             for (const char *at = info.param.name; *at != '\0'; ++at) {
                                 name += std::isalnum(static_cast<unsigned char>(*at)) != 0 ? *at : '_';
                             }
                             return name;
                         });

using ClaimRunnerTest = OutcomeTable;

// Guards against a different request with the same key that gets the response of the first.
TEST_F(ClaimRunnerTest, AnotherBodyIsRefused)
{
    this->sendRequest();
    const auto result = this->sendRequest("another body");
    EXPECT_EQ(result.response.status, 422);
    EXPECT_EQ(result.outcome, Outcome::NotRun);
    EXPECT_EQ(this->dispatches, 1);
}

// Guards against a dispatch by a process that was paused while its claim was written.
TEST_F(ClaimRunnerTest, ClaimConfirmedAfterWindowIsNotDispatched)
{
    this->store.afterCall = [this] {
        this->clock.time += 2'000;
    };
    EXPECT_EQ(this->sendRequest().outcome, Outcome::NotRun);
    EXPECT_EQ(this->dispatches, 0);
    EXPECT_EQ(this->state(), "not_run");
}

// Guards against a repeated request that returns a truncated response as if it were complete.
TEST_F(ClaimRunnerTest, RepeatReportsThatALargeBodyWasNotKept)
{
    this->upstreamBody.assign(LibOnce::recordedBodyLimitBytes + 1, 'a');
    EXPECT_EQ(this->sendRequest().response.body.size(), this->upstreamBody.size());
    const auto repeat = this->sendRequest();
    EXPECT_EQ(repeat.outcome, Outcome::Done);
    EXPECT_EQ(repeat.response.status, 410);
    EXPECT_TRUE(repeat.replayed);
}

// Guards against an entry process that writes more claims per second than its share of the rate limit of the store.
TEST_F(ClaimRunnerTest, ClaimsPerSecondAreLimited)
{
    for (int claim = 0; claim < 50; ++claim) {
        EXPECT_EQ(this->sendRequest().outcome, Outcome::Done);
    }
    const auto refused = this->sendRequest();
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
    EXPECT_EQ(refused.response.headers.at("retry-after"), "1");
    this->clock.time += 20;
    EXPECT_EQ(this->sendRequest().outcome, Outcome::Done);
}

// Guards against a claim that is removed before its expiry, or never.
TEST_F(ClaimRunnerTest, ExpiredClaimsAreRemoved)
{
    this->sendRequest();
    const AK::Milliseconds lifetime = AK::Milliseconds{7} * 24 * 3'600'000;
    this->clock.time += lifetime;
    this->runner.removeExpired("");
    EXPECT_EQ(this->state(), "done");
    this->clock.time += 1;
    this->runner.removeExpired("");
    EXPECT_EQ(this->state(), "");
}

// Guards against a background thread that never records an outcome after a failed write, or that does not end.
TEST(ClaimRunnerThread, RecordsOutcomeAfterFailedWrite)
{
    const AK::SystemClock clock;
    MemoryStore store;
    LibMetrics::MetricRegistry metrics;
    LibOnce::ClaimRunner runner(LibSettings::ProcessSettings{}, clock, store, metrics);
    std::promise<void> recorded;
    store.beforeCall = [&](bool write) {
        return write && store.writes == 2 ? StoreFault::Unavailable : StoreFault::None;
    };
    store.afterCall = [&] {
        if (store.writes == 3) {
            recorded.set_value();
        }
    };
    ASSERT_TRUE(runner.start().ok());
    runner.run({"account", "orders", "POST", "/confirm", "key", "body"}, [](const std::string &, AK::Milliseconds) {
        return DispatchResult{Outcome::Done, {200, {}, "shipped"}, ""};
    });
    EXPECT_EQ(recorded.get_future().wait_for(std::chrono::seconds(30)), std::future_status::ready);
    runner.drain();
    runner.stop();
    EXPECT_EQ(LibOnce::parseClaim(store.objects.begin()->second.value)->state, LibOnce::ClaimState::Done);
}

} // namespace
