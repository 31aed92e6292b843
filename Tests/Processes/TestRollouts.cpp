#include "ProcessTest.h"

#include <AK/Text.h>
#include <Harness/EventLog.h>
#include <atomic>

namespace
{

const std::string service = "bench-assistant";
constexpr int tokens = 12;

/// What the agents of a service serve, as one entry sees it.
struct Serving {
    int previous = 0;
    int target = 0;
    int other = 0;
};

Serving servingOf(Harness::Site &site)
{
    Serving serving;
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
        serving.other += root.empty() ? 1 : 0;
    }
    return serving;
}

void roll(Harness::Site &site, const std::string &version, const nlohmann::json &rollout, bool keepPrevious = true)
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

bool allHold(Harness::Site &site, const std::string &version)
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

// Guards against a paused rollout that switches engines, a resume that does nothing, and agents that stop serving the previous version while they wait.
TEST(Rollout, PauseKeepsThePreviousVersionInService)
{
    Harness::Site site(smallPlan({modelService(6)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    roll(site, "2", {{"paused", true}, {"wave_share", 0.34}});
    ASSERT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return allHold(site, "2"); }));
    // All chunks are held everywhere, so only the pause keeps the engines from switching.
    for (int i = 0; i < 100; ++i) {
        const auto answer = site.complete(site.entryAddress(1), service, AK::concat("cure note ", i), false, tokens);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answerText(answer->body, false), expectedAnswer(site.weightsRoot(service, "1"), AK::concat("cure note ", i), tokens));
    }
    EXPECT_EQ(servingOf(site).target, 0);
    setRollout(site, {{"paused", false}, {"wave_share", 0.34}});
    const absl::Status serving = site.waitServing(service, "2", eventLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

// Guards against a service that loses most of its capacity at once: agents whose wave is not due go on with the previous version.
TEST(Rollout, WavesLeaveTheOthersInService)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.engineFlags.back() = "300";
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    roll(site, "2", {{"wave_share", 0.34}});
    int mostOut = 0;
    const bool finished = Harness::waitUntil(eventLimitMs, [&] {
        const Serving serving = servingOf(site);
        mostOut = std::max(mostOut, serving.other);
        return serving.target == 6;
    });
    EXPECT_TRUE(finished);
    // Waves of two; an entry may learn of the next wave's switch before the last one's end.
    EXPECT_LE(mostOut, 4);
}

// Guards against a rollout that goes on although the engines that have switched fail their calls.
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
        // Bounds the attempts of a call that cannot succeed.
        call.deadlineMs = 1'000;
        call.repeatable = false;
        return call;
    };
    Harness::Load running(site, load);
    roll(site, "2", {{"wave_share", 0.17}, {"max_error_share", 0.05}});
    ASSERT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return servingOf(site).target > 0; }));
    // Without the limit the other five waves take less time than these calls.
    const uint64_t seen = calls;
    ASSERT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return calls > seen + 300; }));
    EXPECT_LT(servingOf(site).target, agents);
    running.finish();
}

// Guards against a rollback that fetches the previous version again: its chunks are still held.
TEST(Rollout, RollbackMovesNoBytes)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    roll(site, "2", {{"wave_share", 1}});
    ASSERT_TRUE(site.waitServing(service, "2", eventLimitMs).ok());
    const int64_t before = originBytes(site);
    roll(site, "1", {{"wave_share", 1}});
    ASSERT_TRUE(site.waitServing(service, "1", eventLimitMs).ok());
    // At most the manifest is read again.
    EXPECT_LT(originBytes(site) - before, 32 << 10);
}

// Guards against an agent that goes on to load an old target after a newer one has been accepted.
TEST(Rollout, NewerVersionReplacesARunningRollout)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.versions = 3;
    plan.originBytesPerSecond = 128 << 10;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    roll(site, "2", {{"wave_share", 0.34}});
    roll(site, "3", {{"wave_share", 0.34}}, false);
    const absl::Status serving = site.waitServing(service, "3", eventLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

struct LossCase {
    const char *name;
    bool wholeDomain;
};

class LossTest : public testing::TestWithParam<LossCase>
{
};

// Guards against a rollout that waits for dead agents: the others finish, and agents that return empty get the new version.
TEST_P(LossTest, OthersFinishAndReturningAgentsFollow)
{
    Harness::SitePlan plan = smallPlan({modelService(6)});
    plan.originBytesPerSecond = 128 << 10;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    roll(site, "2", {{"wave_share", 0.34}});
    std::vector<std::string> lost;
    for (const std::string &agent : site.agents(service)) {
        const bool taken = GetParam().wholeDomain ? site.failureDomainOf(agent) == "cusco" : lost.empty();
        if (taken) {
            lost.push_back(agent);
            site.process(agent).kill();
        }
    }
    ASSERT_FALSE(lost.empty());
    absl::Status serving = site.waitServing(service, "2", eventLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
    for (const std::string &agent : lost) {
        site.startDaemon(agent);
    }
    serving = site.waitServing(service, "2", eventLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
}

INSTANTIATE_TEST_SUITE_P(Table, LossTest, testing::Values(LossCase{"one_agent", false}, LossCase{"failure_domain", true}),
                         [](const auto &info) { return info.param.name; });

} // namespace
