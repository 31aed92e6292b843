#include "OnceSite.h"

#include <AK/Text.h>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

constexpr AK::Milliseconds storeTimeoutMs = 500;
constexpr AK::Milliseconds dispatchWindowMs = 1'000;
// Longer than the dispatch window and shorter than the store timeout of the plan that uses it.
constexpr AK::Milliseconds slowStoreMs = 1'500;
constexpr AK::Milliseconds patientStoreTimeoutMs = 5'000;

struct OnceCase {
    const char *name;
    void (*run)(OnceSite &once);
    bool proxy = false;
    AK::Milliseconds storeTimeout = storeTimeoutMs;
};

// Named by GoogleTest.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const OnceCase &once, std::ostream *out)
{
    *out << once.name;
}

void entryKilledAfterDispatch(OnceSite &once, const std::string &key, uint64_t executions)
{
    once.setUpstreams("stall");
    Told first;
    std::thread caller([&] { first = once.attempt(1, key); });
    EXPECT_TRUE(once.waitExecutions(executions));
    once.site.process("entry-1").kill();
    caller.join();
    EXPECT_EQ(first.outcome, "unknown");
    once.setUpstreams("none");
    EXPECT_EQ(once.attempt(2, key).outcome, "unknown");
}

// The claim lands while its holder does not run; when the holder runs again, its window is over.
void entryPausedAfterClaim(OnceSite &once)
{
    once.setStore({{"mode", "slow"}, {"delay_ms", slowStoreMs}});
    const auto before = Harness::getJson(once.site.objectApi(), "/fake/stats");
    ASSERT_TRUE(before.ok());
    Told first;
    std::thread caller([&] { first = once.attempt(1, "k"); });
    EXPECT_TRUE(Harness::waitUntil(eventLimitMs, [&] {
        const auto now = Harness::getJson(once.site.objectApi(), "/fake/stats");
        return now.ok() && now->at("writes") > before->at("writes");
    }));
    once.site.process("entry-1").signal(SIGSTOP);
    once.setStore({{"mode", "none"}});
    EXPECT_TRUE(once.waitClaim("claimed"));
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    once.site.process("entry-1").signal(SIGCONT);
    caller.join();
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_EQ(once.executions(), 0U);
    EXPECT_TRUE(once.waitClaim("not_run"));
    once.expectEventuallyDone(2, "k");
}

void storeDown(OnceSite &once)
{
    once.setStore({{"mode", "down"}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    once.setStore({{"mode", "none"}});
    once.expectEventuallyDone(2, "k");
}

void storeSlowerThanItsTimeout(OnceSite &once)
{
    once.setStore({{"mode", "slow"}, {"delay_ms", slowStoreMs}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    EXPECT_EQ(once.executions(), 0U);
    once.setStore({{"mode", "none"}});
    // The late claim of the first attempt is marked in the background.
    once.expectEventuallyDone(2, "k");
}

void storeLosesAnswers(OnceSite &once)
{
    once.setStore({{"mode", "lose_answers"}});
    const Told first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "done") << first.body;
    once.setStore({{"mode", "none"}});
    const Told second = once.attempt(2, "k");
    EXPECT_EQ(second.outcome, "done") << second.body;
    EXPECT_EQ(first.body, second.body);
}

void storeStale(OnceSite &once)
{
    once.setStore({{"mode", "down"}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    once.setStore({{"mode", "stale"}});
    for (int entry = 1; entry <= 4; ++entry) {
        EXPECT_NE(once.attempt(entry, "k").outcome, "not_run");
    }
    once.setStore({{"mode", "none"}});
    once.expectEventuallyDone(3, "k");
}

// A proxy fault while the claim is written: the call is not run, whether the claim lands late or never, and can be made later.
void proxyFault(OnceSite &once, const nlohmann::json &fault)
{
    once.setProxy(fault);
    const Told first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_EQ(once.executions(), 0U);
    once.setProxy({{"mode", "pass"}});
    once.expectEventuallyDone(2, "k");
}

void upstreamCutBeforeRun(OnceSite &once)
{
    once.setUpstreams("cut_before_run");
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    once.setUpstreams("none");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    EXPECT_EQ(once.executions(), 0U);
}

void upstreamCutAfterRun(OnceSite &once)
{
    once.setUpstreams("cut_after_run");
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    once.setUpstreams("none");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    EXPECT_EQ(once.executions(), 1U);
}

void upstreamRefusesConnections(OnceSite &once)
{
    for (const std::string &agent : once.site.agents(desk)) {
        once.site.process("upstream-" + agent).kill();
        once.killedUpstreams.insert(agent);
    }
    const Told first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_TRUE(once.waitClaim("not_run"));
}

void oneUpstreamLeft(OnceSite &once)
{
    for (const std::string &agent : {desk + "-1", desk + "-2"}) {
        once.site.process("upstream-" + agent).kill();
        once.killedUpstreams.insert(agent);
    }
    for (int i = 0; i < 8; ++i) {
        once.expectEventuallyDone(1 + i % 4, AK::concat("k", i));
    }
}

void agentKilledDuringCall(OnceSite &once)
{
    once.setUpstreams("stall");
    Told first;
    std::thread caller([&] { first = once.attempt(1, "k"); });
    EXPECT_TRUE(once.waitExecutions(1));
    const std::string agent = once.agentThatRan();
    once.site.process(agent).kill();
    caller.join();
    EXPECT_EQ(first.outcome, "unknown") << first.body;
    once.setUpstreams("none");
    once.site.startDaemon(agent);
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
}

void agentsGoneThenBack(OnceSite &once)
{
    for (const std::string &agent : once.site.agents(desk)) {
        once.site.process(agent).kill();
    }
    const Told first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_TRUE(once.waitClaim("not_run"));
    for (const std::string &agent : once.site.agents(desk)) {
        once.site.startDaemon(agent);
    }
    once.expectEventuallyDone(2, "k");
}

void sameKeyAtAllEntriesAtOnce(OnceSite &once)
{
    for (int round = 0; round < 10; ++round) {
        std::vector<std::thread> callers;
        for (int entry = 1; entry <= 4; ++entry) {
            callers.emplace_back([&once, entry, round] { once.attempt(entry, AK::concat("k", round)); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        once.expectEventuallyDone(1 + round % 4, AK::concat("k", round));
    }
    EXPECT_EQ(once.executions(), 10U);
}

void sameKeyOtherBody(OnceSite &once)
{
    EXPECT_EQ(once.attempt(1, "k").outcome, "done");
    const Told second = once.attempt(2, "k", "{\"order\":2}");
    EXPECT_EQ(second.status, 422);
    EXPECT_EQ(second.outcome, "not_run");
    EXPECT_EQ(once.executions(), 1U);
}

void repeatAfterDone(OnceSite &once)
{
    const Told first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "done") << first.body;
    for (int entry = 2; entry <= 4; ++entry) {
        const Told repeat = once.attempt(entry, "k");
        EXPECT_EQ(repeat.outcome, "done");
        EXPECT_EQ(repeat.body, first.body);
        EXPECT_EQ(repeat.status, first.status);
    }
    EXPECT_EQ(once.executions(), 1U);
}

// An operator sees both the call whose answer was cut and the call whose entry died, with the key to look up in the upstream's records.
void operatorsSeeClaims(OnceSite &once)
{
    const std::string program = once.site.plan().binFolder + "/catkinlink";
    const std::string log = once.site.folder() + "/claims.log";
    const auto claims = [&](std::vector<std::string> more) {
        std::vector<std::string> arguments{"claims", "--entry", once.site.entryAddress(2).text(), "--key-file", once.site.operatorKeyFile()};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return Harness::runCommand(program, arguments, log);
    };
    EXPECT_EQ(once.attempt(1, "grant-done").outcome, "done");
    once.setUpstreams("cut_after_run");
    EXPECT_EQ(once.attempt(2, "grant-cut").outcome, "unknown");
    EXPECT_TRUE(once.waitClaim("unknown"));
    entryKilledAfterDispatch(once, "grant-held", 3);
    const Harness::CommandResult table = claims({});
    std::cout << table.output;
    EXPECT_EQ(table.status, 0);
    const Harness::CommandResult json = claims({"--json"});
    const nlohmann::json listed = nlohmann::json::parse(json.output, nullptr, false);
    ASSERT_TRUE(listed.is_object()) << json.output;
    std::map<std::string, std::string> states;
    for (const nlohmann::json &claim : listed["claims"]) {
        states[claim["idempotency_key"]] = claim["state"];
        EXPECT_EQ(claim["account"], "account-1");
    }
    EXPECT_EQ(states, (std::map<std::string, std::string>{{"grant-cut", "unknown"}, {"grant-held", "claimed"}}));
    EXPECT_EQ(listed["complete"], true);
    EXPECT_EQ(claims({"--state", "claimed"}).output.find("grant-cut"), std::string::npos);
    EXPECT_EQ(claims({"--state", "done"}).status, 2);
    once.setStore({{"mode", "down"}});
    EXPECT_EQ(claims({}).status, 5);
    once.setStore({{"mode", "none"}});
}

class OnceTest : public testing::TestWithParam<OnceCase>
{
};

// Guards against a call that may not be repeated running twice, a false "not run" and a "done" without a run, under one fault each.
TEST_P(OnceTest, TellsTheTruth)
{
    Harness::SitePlan plan = smallPlan({orderDesk(3)});
    plan.proxyBeforeObjectApi = GetParam().proxy;
    plan.timing["store_timeout_ms"] = GetParam().storeTimeout;
    plan.entrySettings["claim_dispatch_window_ms"] = dispatchWindowMs;
    OnceSite once(std::move(plan));
    startSite(once.site);
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(once.waitReady());
    GetParam().run(once);
    once.expectTruth();
}

INSTANTIATE_TEST_SUITE_P(Table, OnceTest,
                         testing::Values(OnceCase{"entry_killed_after_dispatch",
                                                  [](OnceSite &once) {
                                                      entryKilledAfterDispatch(once, "k", 1);
                                                  }},
                                         OnceCase{"entry_paused_after_claim", &entryPausedAfterClaim, false, patientStoreTimeoutMs},
                                         OnceCase{"store_down", &storeDown}, OnceCase{"store_slower_than_its_timeout", &storeSlowerThanItsTimeout},
                                         OnceCase{"store_loses_answers", &storeLosesAnswers}, OnceCase{"store_stale", &storeStale},
                                         OnceCase{"proxy_cuts",
                                                  [](OnceSite &once) {
                                                      proxyFault(once, {{"mode", "cut"}});
                                                  },
                                                  true},
                                         OnceCase{"proxy_stalls",
                                                  [](OnceSite &once) {
                                                      proxyFault(once, {{"mode", "stall"}});
                                                  },
                                                  true},
                                         OnceCase{"proxy_half_open",
                                                  [](OnceSite &once) {
                                                      proxyFault(once, {{"mode", "half_open"}});
                                                  },
                                                  true},
                                         OnceCase{"proxy_delays",
                                                  [](OnceSite &once) {
                                                      proxyFault(once, {{"mode", "delay"}, {"delay_ms", slowStoreMs}});
                                                  },
                                                  true},
                                         OnceCase{"upstream_cut_before_run", &upstreamCutBeforeRun}, OnceCase{"upstream_cut_after_run", &upstreamCutAfterRun},
                                         OnceCase{"upstream_refuses_connections", &upstreamRefusesConnections}, OnceCase{"one_upstream_left", &oneUpstreamLeft},
                                         OnceCase{"agent_killed_during_call", &agentKilledDuringCall}, OnceCase{"agents_gone_then_back", &agentsGoneThenBack},
                                         OnceCase{"same_key_at_all_entries", &sameKeyAtAllEntriesAtOnce}, OnceCase{"same_key_other_body", &sameKeyOtherBody},
                                         OnceCase{"repeat_after_done", &repeatAfterDone}, OnceCase{"operators_see_claims", &operatorsSeeClaims}),
                         [](const auto &info) { return info.param.name; });

} // namespace
