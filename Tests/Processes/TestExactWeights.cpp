#include "ProcessTest.h"

#include <AK/Text.h>

namespace
{

const std::string service = "bench-assistant";
constexpr int tokens = 12;

std::string makePrompt(uint64_t sequence)
{
    return AK::concat("How long does resin cure in batch ", sequence, "?");
}

struct DisturbanceCase {
    const char *name;
    void (*disturb)(Harness::Site &site);
};

void restartEngines(Harness::Site &site)
{
    for (const std::string &agent : site.agents(service)) {
        (void)Harness::postJson(site.upstreamAddress(agent), "/fake/restart", nlohmann::json::object());
    }
}

void crashInLoad(Harness::Site &site)
{
    for (const std::string &agent : site.agents(service)) {
        setFault(site.upstreamAddress(agent), {{"mode", "crash_in_load"}});
    }
}

void loseLoadResponses(Harness::Site &site)
{
    for (const std::string &agent : site.agents(service)) {
        setFault(site.upstreamAddress(agent), {{"mode", "lose_load_answer"}});
    }
}

void corruptOrigin(Harness::Site &site)
{
    setFault(site.weightStore(), {{"mode", "corrupt"}, {"share", 0.3}});
}

void restartAgents(Harness::Site &site)
{
    site.process(service + "-1").kill();
    site.startDaemon(service + "-1");
}

class ExactWeightsTest : public testing::TestWithParam<DisturbanceCase>
{
};

// Guards against responses from mixed or partial weights while a rollout is disturbed: every complete response must be the text that exactly one version
// generates.
TEST_P(ExactWeightsTest, EveryResponseComesFromOneVersion)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan load;
    load.callsPerSecond = 60;
    load.threads = 24;
    load.makeCall = [](uint64_t sequence) {
        return Harness::completionCall(service, makePrompt(sequence), sequence % 2 == 1, tokens);
    };
    Harness::Load running(site, load);
    GetParam().disturb(site);
    const auto revision = site.change(
        [&](nlohmann::json &document) {
            nlohmann::json &entry = document["services"][service];
            entry["previous"] = entry["target"];
            entry["target"]["version"] = "2";
            entry["target"]["root"] = site.weightsRoot(service, "2");
        },
        "new version");
    ASSERT_TRUE(revision.ok()) << revision.status();
    const absl::Status serving = site.waitServing(service, "2", waitLimitMs);
    EXPECT_TRUE(serving.ok()) << serving;
    int complete = 0;
    for (const Harness::CallRecord &record : running.finish()) {
        if (!record.complete) {
            continue;
        }
        ++complete;
        const std::string text = responseText(record.body, record.body.starts_with("data:"));
        const bool matches = text == expectedText(site.weightsRoot(service, "1"), record.label, tokens)
            || text == expectedText(site.weightsRoot(service, "2"), record.label, tokens);
        EXPECT_TRUE(matches) << record.label << ": " << record.body;
    }
    EXPECT_GT(complete, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, ExactWeightsTest,
                         testing::Values(DisturbanceCase{"undisturbed",
                                                         [](Harness::Site &) {
                                                         }},
                                         DisturbanceCase{"engines_restart", &restartEngines}, DisturbanceCase{"engine_crashes_in_load", &crashInLoad},
                                         DisturbanceCase{"load_answer_lost", &loseLoadResponses}, DisturbanceCase{"origin_corrupt", &corruptOrigin},
                                         DisturbanceCase{"agent_killed", &restartAgents}),
                         [](const auto &info) { return info.param.name; });

} // namespace
