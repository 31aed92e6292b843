#include "ProcessTest.h"

#include <AK/Text.h>

namespace
{

const std::string service = "bench-assistant";
const std::string domain = "cusco";
constexpr int tokens = 10;

struct DomainCase {
    const char *name;
    void (*afterAcceptance)(Harness::Site &site);
};

void killStore(Harness::Site &site)
{
    site.process("object-api").kill();
}

// The agent is one of the domain: it must learn of the change after its restart before it takes a call.
void killStoreAndRestartProcesses(Harness::Site &site)
{
    site.process("object-api").kill();
    for (const std::string &name : {std::string("entry-1"), agentsOfDomain(site, service, domain).front()}) {
        site.process(name).kill();
        site.startDaemon(name);
    }
}

class DomainOutTest : public testing::TestWithParam<DomainCase>
{
};

// Guards against new work in a failure domain that operators took out, also when the store fails right after it accepted the change.
TEST_P(DomainOutTest, GetsNoNewWork)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    // Warm, the upstreams outside the domain complete about 80 calls per second, so calls would spill over into the domain if it took them.
    plan.engineFlags = {"--slots", "4", "--cold-slots", "1", "--cold-ms", "500", "--token-ms", "20", "--load-ms", "20"};
    plan.agentSettings = {{"capacity", 4}, {"cold_slots", 1}, {"ramp_step_ms", 600}};
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    const std::vector<std::string> inside = agentsOfDomain(site, service, domain);
    Harness::LoadPlan offered = completionLoad(service, 100, tokens);
    offered.threads = 64;
    Harness::Load load(site, offered);
    ASSERT_TRUE(load.waitForNewCalls(60, eventLimitMs));
    ASSERT_GT(sumOfStat(site, inside, "calls"), 0);
    const uint64_t out = setDomainInService(site, domain, false);
    GetParam().afterAcceptance(site);
    const absl::Status inForce = site.waitForRevision(out, eventLimitMs);
    ASSERT_TRUE(inForce.ok()) << inForce;
    // Calls that were admitted before are over.
    ASSERT_TRUE(load.waitForNewCalls(1, eventLimitMs));
    const int64_t calls = sumOfStat(site, inside, "calls");
    EXPECT_TRUE(load.waitForNewCalls(150, eventLimitMs));
    EXPECT_EQ(sumOfStat(site, inside, "calls"), calls);
    if (!site.process("object-api").running()) {
        return;
    }
    const uint64_t back = setDomainInService(site, domain, true);
    ASSERT_TRUE(site.waitForRevision(back, eventLimitMs).ok());
    EXPECT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return sumOfStat(site, inside, "calls") > calls; }));
    EXPECT_TRUE(load.waitForNewCalls(100, eventLimitMs));
    EXPECT_EQ(sumOfStat(site, inside, "cold_overload"), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, DomainOutTest,
                         testing::Values(DomainCase{"undisturbed",
                                                    [](Harness::Site &) {
                                                    }},
                                         DomainCase{"store_killed", &killStore}, DomainCase{"store_killed_processes_restart", &killStoreAndRestartProcesses}),
                         [](const auto &info) { return info.param.name; });

} // namespace
