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

// The agent belongs to the failure domain: after its restart it must learn of the change before it accepts a call.
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

// Guards against new calls in a failure domain that operators took out of service, also when the store fails right after it accepted the change.
TEST_P(DomainOutTest, GetsNoNewCalls)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    // The warm upstreams outside the domain complete about 80 calls per second, and 100 per second are offered, so that the domain would get calls if it
    // accepted them.
    plan.engineFlags = {"--slots", "4", "--cold-slots", "1", "--cold-ms", "500", "--token-ms", "20", "--load-ms", "20"};
    plan.agentSettings = {{"capacity", 4}, {"cold_slots", 1}, {"ramp_step_ms", 600}};
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    const std::vector<std::string> domainAgents = agentsOfDomain(site, service, domain);
    Harness::LoadPlan offered = completionLoad(service, 100, tokens);
    offered.threads = 64;
    Harness::Load load(site, offered);
    ASSERT_TRUE(load.waitForNewCalls(60, waitLimitMs));
    ASSERT_GT(sumOfStat(site, domainAgents, "calls"), 0);
    const uint64_t out = setDomainInService(site, domain, false);
    GetParam().afterAcceptance(site);
    const absl::Status inForce = site.waitForRevision(out, waitLimitMs);
    ASSERT_TRUE(inForce.ok()) << inForce;
    // Waits for the end of the calls that were admitted before.
    ASSERT_TRUE(load.waitForNewCalls(1, waitLimitMs));
    const int64_t calls = sumOfStat(site, domainAgents, "calls");
    EXPECT_TRUE(load.waitForNewCalls(150, waitLimitMs));
    EXPECT_EQ(sumOfStat(site, domainAgents, "calls"), calls);
    if (!site.process("object-api").running()) {
        return;
    }
    const uint64_t back = setDomainInService(site, domain, true);
    ASSERT_TRUE(site.waitForRevision(back, waitLimitMs).ok());
    EXPECT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return sumOfStat(site, domainAgents, "calls") > calls; }));
    EXPECT_TRUE(load.waitForNewCalls(100, waitLimitMs));
    EXPECT_EQ(sumOfStat(site, domainAgents, "cold_overload"), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, DomainOutTest,
                         testing::Values(DomainCase{"undisturbed",
                                                    [](Harness::Site &) {
                                                    }},
                                         DomainCase{"store_killed", &killStore}, DomainCase{"store_killed_processes_restart", &killStoreAndRestartProcesses}),
                         [](const auto &info) { return info.param.name; });

} // namespace
