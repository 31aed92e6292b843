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

class CompleteResponsesTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against cut responses that look complete and against responses that reach another caller.
TEST_P(CompleteResponsesTest, EachCallerGetsItsOwnCompleteResponseOrAnError)
{
    Harness::Site site(smallPlan({modelService(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    Harness::LoadPlan plan = completionLoad(service, 60, tokens);
    const auto makeCall = plan.makeCall;
    plan.makeCall = [makeCall](uint64_t sequence) {
        Harness::CallPlan call = makeCall(sequence);
        // A call whose response was cut is not retried, so that the cut response stays in its record and is checked.
        call.repeatable = false;
        call.deadlineMs = 3'000;
        return call;
    };
    Harness::Load load(site, plan);
    ASSERT_TRUE(load.waitForNewCalls(40, waitLimitMs));
    GetParam().disturb(site);
    ASSERT_TRUE(load.waitForNewCalls(0, waitLimitMs));
    GetParam().repair(site);
    EXPECT_TRUE(load.waitForNewCalls(40, waitLimitMs));
    const std::vector<Harness::CallRecord> records = load.finish();
    EXPECT_GT(std::ranges::count_if(records, [](const Harness::CallRecord &record) { return !record.complete; }), 0) << "the fault cut no response";
    expectOwnResponses(records, site.weightsRoot(service, "1"), tokens);
}

void noRepair(Harness::Site &)
{
}

INSTANTIATE_TEST_SUITE_P(Table, CompleteResponsesTest,
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
                                                   &noRepair},
                                         FaultCase{"agents_killed",
                                                   [](Harness::Site &site) {
                                                       for (const std::string &agent : site.agents(service)) {
                                                           killAndStart(site, agent);
                                                       }
                                                   },
                                                   &noRepair},
                                         FaultCase{"entries_killed",
                                                   [](Harness::Site &site) {
                                                       killAndStart(site, "entry-1");
                                                       killAndStart(site, "entry-2");
                                                   },
                                                   &noRepair}),
                         [](const auto &info) { return info.param.name; });

} // namespace
