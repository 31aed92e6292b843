#include "Explorer.h"
#include <LibOnce/ClaimRunner.h>
#include <future>
#include <gtest/gtest.h>

namespace
{

using LibOnce::DispatchResult;
using LibOnce::Outcome;

// A claim of another process that the store already holds; "" for none.
struct TableCase {
    const char *name;
    const char *existing;
    std::vector<StoreFault> faults; // of the first store calls, in order
    Outcome dispatched;
    Outcome outcome;
    int status;
    int dispatches;
    const char *recorded; // state after the background pass; "" when there is no claim
};

class OutcomeTable : public testing::TestWithParam<TableCase>
{
protected:
    LibOnce::OnceResult ask(const std::string &body = "body")
    {
        const LibOnce::OnceRequest request{"account", "orders", "POST", "/confirm", "key", body};
        return this->runner.run(request, [this](const std::string &, AK::Milliseconds startBefore) {
            ++this->dispatches;
            EXPECT_EQ(startBefore, this->clock.now() + 2'000);
            return DispatchResult{this->answer, {200, {}, this->answerBody}, ""};
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
    Outcome answer = Outcome::Done;
    std::string answerBody = "shipped";
    int dispatches = 0;
};

// Guards against a row of the table in section 5.6 of the design page that is answered, dispatched or recorded otherwise.
TEST_P(OutcomeTable, IsKept)
{
    const TableCase &row = GetParam();
    if (*row.existing != '\0') {
        LibOnce::ClaimRecord record;
        record.state = *AK::valueOf(LibOnce::claimStateNames, row.existing);
        record.nonce = "other";
        record.bodyDigest = LibOnce::claimBodyDigest({"", "", "", "", "", "body"});
        record.recordedResponse = LibOnce::toRecordedResponse({200, {}, "shipped"});
        const std::string name = LibOnce::claimName({"account", "orders", "POST", "/confirm", "key", ""});
        ASSERT_TRUE(this->store.create("claims", name, LibOnce::serializeClaim(record), 0).ok());
    }
    size_t call = 0;
    this->store.before = [&](bool) {
        return call < row.faults.size() ? row.faults[call++] : StoreFault::None;
    };
    this->answer = row.dispatched;
    const auto result = this->ask();
    EXPECT_EQ(result.outcome, row.outcome) << result.reason;
    EXPECT_EQ(result.response.status, row.status);
    EXPECT_EQ(this->dispatches, row.dispatches);
    this->runner.recordPending(true);
    EXPECT_EQ(this->state(), row.recorded);
}

constexpr auto ok = StoreFault::None;
constexpr auto down = StoreFault::Unavailable;
constexpr auto answerLost = StoreFault::AnswerLost;
constexpr auto requestLost = StoreFault::RequestLost;

INSTANTIATE_TEST_SUITE_P(Rows, OutcomeTable,
                         testing::Values(TableCase{"created", "", {}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"exists done", "done", {}, Outcome::Done, Outcome::Done, 200, 0, "done"},
                                         TableCase{"exists claimed", "claimed", {}, Outcome::Done, Outcome::Unknown, 409, 0, "claimed"},
                                         TableCase{"exists unknown", "unknown", {}, Outcome::Done, Outcome::Unknown, 409, 0, "unknown"},
                                         TableCase{"exists not_run", "not_run", {}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"exists, unreadable", "done", {ok, down}, Outcome::Done, Outcome::Unknown, 503, 0, "done"},
                                         TableCase{"answer lost, our nonce", "", {answerLost}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"request lost, absent", "", {requestLost}, Outcome::Done, Outcome::NotRun, 503, 0, ""},
                                         TableCase{"answer lost, unreachable", "", {answerLost, down}, Outcome::Done, Outcome::NotRun, 503, 0, "not_run"},
                                         TableCase{"re-claim lost, our nonce", "not_run", {ok, ok, answerLost}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"store down before", "", {down}, Outcome::Done, Outcome::NotRun, 503, 0, ""},
                                         TableCase{"refused by agents", "", {}, Outcome::NotRun, Outcome::NotRun, 503, 1, "not_run"},
                                         TableCase{"refused, record lost", "", {ok, down}, Outcome::NotRun, Outcome::NotRun, 503, 1, "not_run"},
                                         TableCase{"connection lost", "", {}, Outcome::Unknown, Outcome::Unknown, 504, 1, "unknown"},
                                         TableCase{"store down after", "", {ok, down}, Outcome::Done, Outcome::Done, 200, 1, "done"},
                                         TableCase{"record's answer lost", "", {ok, answerLost}, Outcome::Done, Outcome::Done, 200, 1, "done"}),
                         [](const auto &info) {
                             std::string name;
                             for (const char *at = info.param.name; *at != '\0'; ++at) {
                                 name += std::isalnum(static_cast<unsigned char>(*at)) != 0 ? *at : '_';
                             }
                             return name;
                         });

using ClaimRunnerTest = OutcomeTable;

// Guards against another request under the same key that gets the answer of the first.
TEST_F(ClaimRunnerTest, AnotherBodyIsRefused)
{
    this->ask();
    const auto result = this->ask("another body");
    EXPECT_EQ(result.response.status, 422);
    EXPECT_EQ(result.outcome, Outcome::NotRun);
    EXPECT_EQ(this->dispatches, 1);
}

// Guards against a dispatch by a process that was paused while its claim was written.
TEST_F(ClaimRunnerTest, LateConfirmationIsNotDispatched)
{
    this->store.after = [this] {
        this->clock.time += 2'000;
    };
    EXPECT_EQ(this->ask().outcome, Outcome::NotRun);
    EXPECT_EQ(this->dispatches, 0);
    EXPECT_EQ(this->state(), "not_run");
}

// Guards against a repeat that returns a truncated answer as if it were whole.
TEST_F(ClaimRunnerTest, RepeatSaysThatALargeBodyWasNotKept)
{
    this->answerBody.assign(LibOnce::recordedBodyLimitBytes + 1, 'a');
    EXPECT_EQ(this->ask().response.body.size(), this->answerBody.size());
    const auto repeat = this->ask();
    EXPECT_EQ(repeat.outcome, Outcome::Done);
    EXPECT_EQ(repeat.response.status, 410);
    EXPECT_TRUE(repeat.replayed);
}

// Guards against an entry that writes more claims than its share of the store's rate.
TEST_F(ClaimRunnerTest, ClaimsPerSecondAreLimited)
{
    for (int claim = 0; claim < 50; ++claim) {
        EXPECT_EQ(this->ask().outcome, Outcome::Done);
    }
    const auto refused = this->ask();
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
    EXPECT_EQ(refused.response.headers.at("retry-after"), "1");
    this->clock.time += 20;
    EXPECT_EQ(this->ask().outcome, Outcome::Done);
}

// Guards against a cleaner that removes a claim before its expiry, or never.
TEST_F(ClaimRunnerTest, ExpiredClaimsAreRemoved)
{
    this->ask();
    const AK::Milliseconds lifetime = AK::Milliseconds{7} * 24 * 3'600'000;
    this->clock.time += lifetime;
    this->runner.removeExpired("");
    EXPECT_EQ(this->state(), "done");
    this->clock.time += 1;
    this->runner.removeExpired("");
    EXPECT_EQ(this->state(), "");
}

// Guards against a background thread that never records what the store refused at first, or that does not end.
TEST(ClaimRunnerThread, RecordsWhatTheStoreRefused)
{
    const AK::SystemClock clock;
    MemoryStore store;
    LibMetrics::MetricRegistry metrics;
    LibOnce::ClaimRunner runner(LibSettings::ProcessSettings{}, clock, store, metrics);
    std::promise<void> recorded;
    store.before = [&](bool write) {
        return write && store.writes == 2 ? StoreFault::Unavailable : StoreFault::None;
    };
    store.after = [&] {
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
