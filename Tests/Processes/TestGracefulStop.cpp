#include "ProcessTest.h"

#include <AK/Text.h>
#include <algorithm>
#include <csignal>

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

} // namespace
