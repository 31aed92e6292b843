#include "ProcessTest.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace
{

const std::string service = "bench-assistant";
const std::string orderDeskName = "order-desk";
constexpr int tokens = 50;

// Half of the calls are shipments, which no process may repeat, so that each interrupted one is visible. The others are completions that take about 250 ms.
Harness::CallPlan mixedCall(uint64_t sequence)
{
    if (sequence % 2 == 0) {
        return Harness::completionCall(service, AK::concat("batch ", sequence), sequence % 4 == 0, tokens);
    }
    Harness::CallPlan call;
    call.kind = "shipment";
    call.repeatable = false;
    call.request.method = "POST";
    call.request.path = AK::concat("/services/", orderDeskName, "/shipments");
    call.request.headers["idempotency-key"] = AK::concat("shipment-", sequence);
    call.request.body = AK::concat("{\"shipment\":", sequence, "}");
    return call;
}

class GracefulStopTest : public testing::TestWithParam<std::string>
{
};

// Guards against planned stops that interrupt requests.
TEST_P(GracefulStopTest, InterruptsNoRequest)
{
    Harness::SitePlan plan = smallPlan({modelService(6), orderDesk(3)});
    plan.engineFlags = {"--slots", "8", "--cold-slots", "8", "--cold-ms", "0", "--token-ms", "5", "--load-ms", "20"};
    plan.agentSettings = {{"capacity", 8}, {"cold_slots", 8}, {"ramp_step_ms", 300}};
    plan.plainFlags = {"--delay-ms", "300"};
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan mixed = completionLoad(service, 40, tokens);
    mixed.makeCall = &mixedCall;
    Harness::Load load(site, mixed);
    ASSERT_TRUE(load.waitForNewCalls(60, waitLimitMs));
    site.process(GetParam()).signal(SIGTERM);
    const std::optional<int> status = site.process(GetParam()).wait(waitLimitMs);
    ASSERT_TRUE(status.has_value()) << GetParam() << " did not exit";
    EXPECT_EQ(*status, 0);
    EXPECT_TRUE(load.waitForNewCalls(60, waitLimitMs));
    for (const Harness::CallRecord &record : load.finish()) {
        EXPECT_FALSE(record.cut) << record.kind << " " << record.label << ": " << record.body;
        EXPECT_TRUE(record.complete) << record.kind << " " << record.label << ": status " << record.status << " " << record.body;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, GracefulStopTest, testing::Values("entry-1", service + "-1", orderDeskName + "-1"), [](const auto &info) {
    std::string name = info.param;
    std::ranges::replace(name, '-', '_');
    return name;
});

// Guards against an entry that goes on taking calls of clients which keep its address: it never became idle, and the calls that came last were cut off when it
// stopped.
TEST(GracefulStop, RejectsCallsThatComeTooLate)
{
    constexpr int clients = 6;
    constexpr AK::Milliseconds callTimeout = 5'000;
    Harness::SitePlan plan = smallPlan({orderDesk(3)});
    plan.plainFlags = {"--delay-ms", "300"};
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(testing::Test::HasFatalFailure());
    const AK::Endpoint entry = site.entryAddress(1);
    std::atomic<bool> ended{false};
    std::atomic<int> answered{0};
    std::atomic<int> rejected{0};
    std::atomic<int> unanswered{0};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int sequence = 0; !ended; ++sequence) {
                Harness::CallPlan call = mixedCall(1);
                call.request.headers["idempotency-key"] = AK::concat("late-", client, "-", sequence);
                call.request.headers["authorization"] = "Bearer " + site.accountKey(1);
                call.request.headers["x-deadline-ms"] = std::to_string(callTimeout);
                const auto response = LibHttp::httpCall(entry, call.request, callTimeout, 100'000);
                const bool notRun = response.ok() && response->status == 503 && LibHttp::headerOr(response->headers, "x-catkinlink-outcome") == "not_run";
                answered += response.ok() && response->status == 200 ? 1 : 0;
                rejected += notRun ? 1 : 0;
                const bool notSent = !response.ok() && LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent;
                unanswered += !response.ok() && !notSent ? 1 : 0;
                AK::SystemClock().sleep(response.ok() ? 0 : 20);
            }
        });
    }
    while (answered < clients) {
        AK::SystemClock().sleep(10);
    }
    site.process("entry-1").signal(SIGTERM);
    const std::optional<int> status = site.process("entry-1").wait(waitLimitMs);
    ended = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    ASSERT_TRUE(status.has_value()) << "the entry did not exit";
    EXPECT_EQ(*status, 0);
    EXPECT_GT(rejected, 0);
    // A connection that the server accepts as it stops is closed without having been read; no upstream has the request.
    EXPECT_EQ(sumOfStat(site, site.agents(orderDeskName), "executions"), answered) << unanswered << " calls without an answer";
}

} // namespace
