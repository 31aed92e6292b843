#include "ProcessTest.h"

#include <AK/Text.h>
#include <Harness/EventLog.h>
#include <atomic>

namespace
{

const std::string service = "bench-assistant";
constexpr int tokens = 12;

/// Number of agents of the service that serve version 1, version 2 and no version, as one entry sees it.
struct ServingCounts {
    int previous = 0;
    int target = 0;
    int none = 0;
};

ServingCounts servingCounts(Harness::Site &site)
{
    ServingCounts serving;
    const auto view = site.status(site.entryAddress(1));
    if (!view.ok()) {
        return serving;
    }
    for (const nlohmann::json &member : view->at("members")) {
        if (member.value("service", "") != service) {
            continue;
        }
        const std::string root = member.value("weights_root", "");
        serving.previous += root == site.weightsRoot(service, "1") ? 1 : 0;
        serving.target += root == site.weightsRoot(service, "2") ? 1 : 0;
        serving.none += root.empty() ? 1 : 0;
    }
    return serving;
}

void startRollout(Harness::Site &site, const std::string &version, const nlohmann::json &rollout, bool keepPrevious = true)
{
    const auto revision = site.change(
        [&](nlohmann::json &document) {
            nlohmann::json &entry = document["services"][service];
            if (keepPrevious) {
                entry["previous"] = entry["target"];
            }
            entry["target"]["version"] = version;
            entry["target"]["root"] = site.weightsRoot(service, version);
            entry["rollout"] = rollout;
        },
        "rollout of version " + version);
    ASSERT_TRUE(revision.ok()) << revision.status();
}

void setRollout(Harness::Site &site, const nlohmann::json &rollout)
{
    const auto revision = site.change([&](nlohmann::json &document) { document["services"][service]["rollout"] = rollout; }, "rollout policy");
    ASSERT_TRUE(revision.ok()) << revision.status();
}

bool allHoldWeights(Harness::Site &site, const std::string &version)
{
    for (const std::string &agent : site.agents(service)) {
        bool held = false;
        for (const nlohmann::json &event : Harness::readEvents(AK::concat(site.folder(), "/", agent, ".log"), "weights_complete")) {
            held = held || event.value("root", "") == site.weightsRoot(service, version);
        }
        if (!held) {
            return false;
        }
    }
    return true;
}

int64_t originBytes(Harness::Site &site)
{
    const auto stats = Harness::getJson(site.weightStore(), "/fake/stats");
    return stats.ok() ? stats->value("bytes_served", int64_t{-1}) : -1;
}

// Guards against a paused rollout that switches engines, a resume without effect, and agents that stop serving the previous version while they wait.
TEST(Rollout, PauseKeepsThePreviousVersionInService)
{
    Harness::Site site(smallPlan({modelService(6)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    startRollout(site, "2", {{"paused", true}, {"wave_share", 0.34}});
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return allHoldWeights(site, "2"); }));
    // All agents hold all chunks, so only the pause keeps the engines from switching.
    for (int i = 0; i < 100; ++i) {
        const auto response = site.complete(site.entryAddress(1), service, AK::concat("cure note ", i), false, tokens);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(responseText(response->body, false), expectedText(site.weightsRoot(service, "1"), AK::concat("cure note ", i), tokens));
    }
    EXPECT_EQ(servingCounts(site).target, 0);
    setRollout(site, {{"paused", false}, {"wave_share", 0.34}});
    const absl::Status serving = site.waitServing(service, "2", waitLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

// Guards against a rollout that takes most of the capacity of a service at once: agents whose wave has not started serve the previous version.
TEST(Rollout, WavesKeepTheOtherAgentsInService)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.engineFlags.back() = "300";
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    startRollout(site, "2", {{"wave_share", 0.34}});
    int maxNotServing = 0;
    const bool finished = Harness::waitUntil(waitLimitMs, [&] {
        const ServingCounts serving = servingCounts(site);
        maxNotServing = std::max(maxNotServing, serving.none);
        return serving.target == 6;
    });
    EXPECT_TRUE(finished);
    // A wave has two agents. An entry may see the start of the next wave before the end of the last one, hence two waves.
    EXPECT_LE(maxNotServing, 4);
}

// Guards against a rollout that continues although the engines that have switched fail their calls.
TEST(Rollout, FailingWaveStopsTheLaterOnes)
{
    constexpr int agents = 6;
    Harness::Site site(smallPlan({modelService(agents)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    for (const std::string &agent : site.agents(service)) {
        setFault(site.upstreamAddress(agent), {{"mode", "cut_stream"}});
    }
    std::atomic<uint64_t> calls{0};
    Harness::LoadPlan load;
    load.callsPerSecond = 60;
    load.threads = 24;
    load.makeCall = [&calls](uint64_t sequence) {
        ++calls;
        Harness::CallPlan call = Harness::completionCall(service, AK::concat("cure note ", sequence), true, tokens);
        // Limits the attempts of a call that cannot succeed.
        call.deadlineMs = 1'000;
        call.repeatable = false;
        return call;
    };
    Harness::Load running(site, load);
    startRollout(site, "2", {{"wave_share", 0.17}, {"max_error_share", 0.05}});
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return servingCounts(site).target > 0; }));
    // Without max_error_share the other five waves would take less time than these calls.
    const uint64_t callsBefore = calls;
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return calls > callsBefore + 300; }));
    EXPECT_LT(servingCounts(site).target, agents);
    running.finish();
}

// Guards against a rollback that fetches the previous version again although its chunks are still held.
TEST(Rollout, RollbackTransfersNoChunks)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    startRollout(site, "2", {{"wave_share", 1}});
    ASSERT_TRUE(site.waitServing(service, "2", waitLimitMs).ok());
    const int64_t before = originBytes(site);
    startRollout(site, "1", {{"wave_share", 1}});
    ASSERT_TRUE(site.waitServing(service, "1", waitLimitMs).ok());
    // At most the manifest is read again.
    EXPECT_LT(originBytes(site) - before, 32 << 10);
}

// Guards against an agent that continues to load an old target after a newer one has been accepted.
TEST(Rollout, NewerVersionReplacesARunningRollout)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.versions = 3;
    plan.originBytesPerSecond = 128 << 10;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    startRollout(site, "2", {{"wave_share", 0.34}});
    startRollout(site, "3", {{"wave_share", 0.34}}, false);
    const absl::Status serving = site.waitServing(service, "3", waitLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

struct AgentLossCase {
    const char *name;
    bool wholeDomain;
};

class AgentLossTest : public testing::TestWithParam<AgentLossCase>
{
};

// Guards against a rollout that waits for dead agents: the other agents finish, and agents that restart without weights load the new version.
TEST_P(AgentLossTest, OthersFinishAndRestartedAgentsFollow)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.originBytesPerSecond = 128 << 10;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    startRollout(site, "2", {{"wave_share", 0.34}});
    std::vector<std::string> lost;
    for (const std::string &agent : site.agents(service)) {
        const bool selected = GetParam().wholeDomain ? site.failureDomainOf(agent) == "cusco" : lost.empty();
        if (selected) {
            lost.push_back(agent);
            site.process(agent).kill();
        }
    }
    ASSERT_FALSE(lost.empty());
    absl::Status serving = site.waitServing(service, "2", waitLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
    for (const std::string &agent : lost) {
        site.startDaemon(agent);
    }
    serving = site.waitServing(service, "2", waitLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

INSTANTIATE_TEST_SUITE_P(Table, AgentLossTest, testing::Values(AgentLossCase{"one_agent", false}, AgentLossCase{"failure_domain", true}),
                         [](const auto &info) { return info.param.name; });

} // namespace
