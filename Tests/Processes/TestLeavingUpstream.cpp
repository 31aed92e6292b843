#include "ProcessTest.h"

#include <AK/Text.h>
#include <algorithm>
#include <csignal>

namespace
{

const std::string service = "bench-assistant";
const std::string leaving = service + "-2";
constexpr int tokens = 20;

struct LeavingCase {
    const char *name;
    /// Makes the upstream leave and returns when every process knows of it.
    void (*leave)(Harness::Site &site);
};

void terminateAgent(Harness::Site &site)
{
    site.process(leaving).signal(SIGTERM);
    const std::optional<int> status = site.process(leaving).wait(waitLimitMs);
    ASSERT_TRUE(status.has_value());
    EXPECT_EQ(*status, 0);
}

void markHostLeaving(Harness::Site &site)
{
    auto list = Harness::getJson(site.objectApi(), "/hosts");
    ASSERT_TRUE(list.ok()) << list.status();
    for (nlohmann::json &host : list->at("hosts")) {
        if (host.at("name") == leaving) {
            host["state"] = "leaving";
        }
    }
    ASSERT_TRUE(Harness::postJson(site.objectApi(), "/fake/hosts", *list).ok());
    ASSERT_TRUE(waitForStatusOfMember(site, leaving, "leaving"));
}

void takeUpstreamOut(Harness::Site &site)
{
    const auto revision = site.change([](nlohmann::json &document) { document["upstreams"][leaving]["in_service"] = false; }, "upstream out");
    ASSERT_TRUE(revision.ok()) << revision.status();
    const absl::Status inForce = site.waitForRevision(*revision, waitLimitMs);
    ASSERT_TRUE(inForce.ok()) << inForce;
}

class LeavingUpstreamTest : public testing::TestWithParam<LeavingCase>
{
};

// Guards against new calls at an upstream that leaves, and against calls that are cut because it leaves.
TEST_P(LeavingUpstreamTest, GetsNoNewCallsAndFinishesItsCalls)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::Load load(site, completionLoad(service, 60, tokens));
    ASSERT_TRUE(load.waitForNewCalls(60, waitLimitMs));
    ASSERT_GT(upstreamStat(site, leaving, "calls"), 0);
    GetParam().leave(site);
    ASSERT_FALSE(HasFatalFailure());
    // Waits for the end of the calls that were admitted before.
    ASSERT_TRUE(load.waitForNewCalls(1, waitLimitMs));
    const int64_t calls = upstreamStat(site, leaving, "calls");
    EXPECT_TRUE(load.waitForNewCalls(150, waitLimitMs));
    EXPECT_EQ(upstreamStat(site, leaving, "calls"), calls);
    const std::vector<Harness::CallRecord> records = load.finish();
    for (const Harness::CallRecord &record : records) {
        EXPECT_FALSE(record.cut) << record.label << ": " << record.body;
    }
    expectOwnResponses(records, site.weightsRoot(service, "1"), tokens);
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingUpstreamTest,
                         testing::Values(LeavingCase{"agent_terminated", &terminateAgent}, LeavingCase{"host_list", &markHostLeaving},
                                         LeavingCase{"upstream_out", &takeUpstreamOut}),
                         [](const auto &info) { return info.param.name; });

} // namespace
