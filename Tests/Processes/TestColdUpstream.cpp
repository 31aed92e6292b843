#include "ProcessTest.h"

#include <AK/Text.h>

namespace
{

const std::string service = "bench-assistant";
const std::string domain = "cusco";
constexpr int tokens = 10;

// The warm engines complete about 60 calls per second, and 90 per second are offered. A cold engine accepts one call at a time.
Harness::SitePlan coldUpstreamPlan()
{
    Harness::SitePlan plan = smallPlan({modelService(3)});
    plan.engineFlags = {"--slots", "4", "--cold-slots", "1", "--cold-ms", "600", "--token-ms", "20", "--load-ms", "20"};
    plan.agentSettings = {{"capacity", 4}, {"cold_slots", 1}, {"ramp_step_ms", 700}};
    return plan;
}

struct ColdCase {
    const char *name;
    void (*disturb)(Harness::Site &site);
};

void restartEnginesAndAgents(Harness::Site &site)
{
    for (const std::string &agent : site.agents(service)) {
        site.process(agent).kill();
        restartEngine(site, agent);
        site.startDaemon(agent);
    }
}

void restartOneEngine(Harness::Site &site)
{
    restartEngine(site, service + "-1");
}

void returnDomainWithEmptyEngines(Harness::Site &site)
{
    const uint64_t out = setDomainInService(site, domain, false);
    ASSERT_TRUE(site.waitForRevision(out, waitLimitMs).ok());
    for (const std::string &agent : agentsOfDomain(site, service, domain)) {
        restartEngine(site, agent);
    }
    const uint64_t in = setDomainInService(site, domain, true);
    ASSERT_TRUE(site.waitForRevision(in, waitLimitMs).ok());
}

class ColdUpstreamTest : public testing::TestWithParam<ColdCase>
{
};

// Guards against full load on an engine that has just loaded its weights and would fail under that load.
TEST_P(ColdUpstreamTest, StaysWithinItsColdLimit)
{
    Harness::Site site(coldUpstreamPlan());
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan plan = completionLoad(service, 90, tokens);
    plan.threads = 64;
    Harness::Load load(site, plan);
    ASSERT_TRUE(load.waitForNewCalls(100, waitLimitMs));
    const int64_t loadsBefore = sumOfStat(site, site.agents(service), "loads");
    GetParam().disturb(site);
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return sumOfStat(site, site.agents(service), "loads") > loadsBefore; }));
    ASSERT_TRUE(site.waitServing(service, "1", waitLimitMs).ok());
    EXPECT_TRUE(load.waitForNewCalls(150, waitLimitMs));
    load.finish();
    EXPECT_EQ(sumOfStat(site, site.agents(service), "cold_overload"), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, ColdUpstreamTest,
                         testing::Values(ColdCase{"engines_and_agents_restart", &restartEnginesAndAgents}, ColdCase{"engine_restarts", &restartOneEngine},
                                         ColdCase{"domain_returns_empty", &returnDomainWithEmptyEngines}),
                         [](const auto &info) { return info.param.name; });

} // namespace
