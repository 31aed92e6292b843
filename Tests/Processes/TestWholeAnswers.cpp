#include "ProcessTest.h"

#include <AK/Text.h>
#include <algorithm>

namespace
{

const std::string service = "bench-assistant";
constexpr int tokens = 20;

struct FaultCase {
    const char *name;
    void (*disturb)(Harness::Site &site);
    void (*repair)(Harness::Site &site);
};

void setEngineFault(Harness::Site &site, const std::string &mode)
{
    for (const std::string &agent : site.agents(service)) {
        setFault(site.upstreamAddress(agent), {{"mode", mode}});
    }
}

void killAndStart(Harness::Site &site, const std::string &name)
{
    site.process(name).kill();
    site.startDaemon(name);
}

class WholeAnswersTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against cut answers that look whole and against answers that reach another caller.
TEST_P(WholeAnswersTest, EachCallerGetsItsOwnWholeAnswerOrAnError)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan plan = completionLoad(service, 60, tokens);
    const auto makeCall = plan.makeCall;
    plan.makeCall = [makeCall](uint64_t sequence) {
        Harness::CallPlan call = makeCall(sequence);
        // Each broken answer is kept for the check instead of being asked for again.
        call.repeatable = false;
        call.deadlineMs = 3'000;
        return call;
    };
    Harness::Load load(site, plan);
    ASSERT_TRUE(load.waitForNewCalls(40, eventLimitMs));
    GetParam().disturb(site);
    ASSERT_TRUE(load.waitForNewCalls(0, eventLimitMs));
    GetParam().repair(site);
    EXPECT_TRUE(load.waitForNewCalls(40, eventLimitMs));
    const std::vector<Harness::CallRecord> records = load.finish();
    EXPECT_GT(std::ranges::count_if(records, [](const Harness::CallRecord &record) { return !record.complete; }), 0) << "the fault broke no answer";
    expectOwnAnswers(records, site.weightsRoot(service, "1"), tokens);
}

void nothing(Harness::Site &)
{
}

INSTANTIATE_TEST_SUITE_P(Table, WholeAnswersTest,
                         testing::Values(FaultCase{"streams_cut", [](Harness::Site &site) { setEngineFault(site, "cut_stream"); },
                                                   [](Harness::Site &site) {
                                                       setEngineFault(site, "none");
                                                   }},
                                         FaultCase{"engines_stall", [](Harness::Site &site) { setEngineFault(site, "stall"); },
                                                   [](Harness::Site &site) {
                                                       setEngineFault(site, "none");
                                                   }},
                                         FaultCase{"engines_restart",
                                                   [](Harness::Site &site) {
                                                       for (const std::string &agent : site.agents(service)) {
                                                           restartEngine(site, agent);
                                                       }
                                                   },
                                                   &nothing},
                                         FaultCase{"agents_killed",
                                                   [](Harness::Site &site) {
                                                       for (const std::string &agent : site.agents(service)) {
                                                           killAndStart(site, agent);
                                                       }
                                                   },
                                                   &nothing},
                                         FaultCase{"entries_killed",
                                                   [](Harness::Site &site) {
                                                       killAndStart(site, "entry-1");
                                                       killAndStart(site, "entry-2");
                                                   },
                                                   &nothing}),
                         [](const auto &info) { return info.param.name; });

} // namespace
