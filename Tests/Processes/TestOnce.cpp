#include "OnceSite.h"

#include <AK/Text.h>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

constexpr AK::Milliseconds storeTimeoutMs = 500;
constexpr AK::Milliseconds dispatchWindowMs = 1'000;
// Longer than the dispatch window, and shorter than longStoreTimeoutMs, which the case with a paused entry uses.
constexpr AK::Milliseconds slowStoreMs = 1'500;
constexpr AK::Milliseconds longStoreTimeoutMs = 5'000;

struct OnceCase {
    const char *name;
    void (*run)(OnceSite &once);
    bool proxy = false;
    AK::Milliseconds storeTimeout = storeTimeoutMs;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const OnceCase &once, std::ostream *out)
{
    *out << once.name;
}

void entryKilledAfterDispatch(OnceSite &once, const std::string &key, uint64_t executions)
{
    once.setUpstreamFaults("stall");
    AttemptResult first;
    std::thread caller([&] { first = once.attempt(1, key); });
    EXPECT_TRUE(once.waitForExecutions(executions));
    once.site.process("entry-1").kill();
    caller.join();
    EXPECT_EQ(first.outcome, "unknown");
    once.setUpstreamFaults("none");
    EXPECT_EQ(once.attempt(2, key).outcome, "unknown");
}

// The claim is stored while the entry that made it is paused. When the entry continues, its dispatch window is over.
void entryPausedAfterClaim(OnceSite &once)
{
    once.setStoreFault({{"mode", "slow"}, {"delay_ms", slowStoreMs}});
    const auto before = Harness::getJson(once.site.objectApi(), "/fake/stats");
    ASSERT_TRUE(before.ok());
    AttemptResult first;
    std::thread caller([&] { first = once.attempt(1, "k"); });
    EXPECT_TRUE(Harness::waitUntil(waitLimitMs, [&] {
        const auto now = Harness::getJson(once.site.objectApi(), "/fake/stats");
        return now.ok() && now->at("writes") > before->at("writes");
    }));
    once.site.process("entry-1").signal(SIGSTOP);
    once.setStoreFault({{"mode", "none"}});
    EXPECT_TRUE(once.waitForClaim("claimed"));
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    once.site.process("entry-1").signal(SIGCONT);
    caller.join();
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_EQ(once.executions(), 0U);
    EXPECT_TRUE(once.waitForClaim("not_run"));
    once.expectEventuallyDone(2, "k");
}

void storeDown(OnceSite &once)
{
    once.setStoreFault({{"mode", "down"}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    once.setStoreFault({{"mode", "none"}});
    once.expectEventuallyDone(2, "k");
}

void storeSlowerThanItsTimeout(OnceSite &once)
{
    once.setStoreFault({{"mode", "slow"}, {"delay_ms", slowStoreMs}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    EXPECT_EQ(once.executions(), 0U);
    once.setStoreFault({{"mode", "none"}});
    // The claim of the first attempt is stored late and is set to "not_run" in the background.
    once.expectEventuallyDone(2, "k");
}

void storeLosesResponses(OnceSite &once)
{
    once.setStoreFault({{"mode", "lose_answers"}});
    const AttemptResult first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "done") << first.body;
    once.setStoreFault({{"mode", "none"}});
    const AttemptResult second = once.attempt(2, "k");
    EXPECT_EQ(second.outcome, "done") << second.body;
    EXPECT_EQ(first.body, second.body);
}

void storeStale(OnceSite &once)
{
    once.setStoreFault({{"mode", "down"}});
    EXPECT_EQ(once.attempt(1, "k").outcome, "not_run");
    once.setStoreFault({{"mode", "stale"}});
    for (int entry = 1; entry <= 4; ++entry) {
        EXPECT_NE(once.attempt(entry, "k").outcome, "not_run");
    }
    once.setStoreFault({{"mode", "none"}});
    once.expectEventuallyDone(3, "k");
}

// A proxy fault while the claim is written: whether the claim is stored late or never, the call is not executed and can be made later.
void proxyFault(OnceSite &once, const nlohmann::json &fault)
{
    once.setProxyFault(fault);
    const AttemptResult first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_EQ(once.executions(), 0U);
    once.setProxyFault({{"mode", "pass"}});
    once.expectEventuallyDone(2, "k");
}

void upstreamCutBeforeRun(OnceSite &once)
{
    once.setUpstreamFaults("cut_before_run");
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    once.setUpstreamFaults("none");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    EXPECT_EQ(once.executions(), 0U);
}

void upstreamCutAfterRun(OnceSite &once)
{
    once.setUpstreamFaults("cut_after_run");
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    once.setUpstreamFaults("none");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
    EXPECT_EQ(once.executions(), 1U);
}

void upstreamRefusesConnections(OnceSite &once)
{
    for (const std::string &agent : once.site.agents(orderDeskName)) {
        once.site.process("upstream-" + agent).kill();
        once.killedUpstreams.insert(agent);
    }
    const AttemptResult first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_TRUE(once.waitForClaim("not_run"));
}

void oneUpstreamLeft(OnceSite &once)
{
    for (const std::string &agent : {orderDeskName + "-1", orderDeskName + "-2"}) {
        once.site.process("upstream-" + agent).kill();
        once.killedUpstreams.insert(agent);
    }
    for (int i = 0; i < 8; ++i) {
        once.expectEventuallyDone(1 + i % 4, AK::concat("k", i));
    }
}

void agentKilledDuringCall(OnceSite &once)
{
    once.setUpstreamFaults("stall");
    AttemptResult first;
    std::thread caller([&] { first = once.attempt(1, "k"); });
    EXPECT_TRUE(once.waitForExecutions(1));
    const std::string agent = once.agentThatExecuted();
    once.site.process(agent).kill();
    caller.join();
    EXPECT_EQ(first.outcome, "unknown") << first.body;
    once.setUpstreamFaults("none");
    once.site.startDaemon(agent);
    EXPECT_EQ(once.attempt(1, "k").outcome, "unknown");
    EXPECT_EQ(once.attempt(2, "k").outcome, "unknown");
}

void agentsKilledAndRestarted(OnceSite &once)
{
    for (const std::string &agent : once.site.agents(orderDeskName)) {
        once.site.process(agent).kill();
    }
    const AttemptResult first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "not_run") << first.body;
    EXPECT_TRUE(once.waitForClaim("not_run"));
    for (const std::string &agent : once.site.agents(orderDeskName)) {
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
    const AttemptResult second = once.attempt(2, "k", "{\"order\":2}");
    EXPECT_EQ(second.status, 422);
    EXPECT_EQ(second.outcome, "not_run");
    EXPECT_EQ(once.executions(), 1U);
}

void repeatAfterDone(OnceSite &once)
{
    const AttemptResult first = once.attempt(1, "k");
    EXPECT_EQ(first.outcome, "done") << first.body;
    for (int entry = 2; entry <= 4; ++entry) {
        const AttemptResult repeat = once.attempt(entry, "k");
        EXPECT_EQ(repeat.outcome, "done");
        EXPECT_EQ(repeat.body, first.body);
        EXPECT_EQ(repeat.status, first.status);
    }
    EXPECT_EQ(once.executions(), 1U);
}

// An operator sees both the call whose response was cut and the call whose entry was killed, with the key to look up in the records of the upstream.
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
    once.setUpstreamFaults("cut_after_run");
    EXPECT_EQ(once.attempt(2, "grant-cut").outcome, "unknown");
    EXPECT_TRUE(once.waitForClaim("unknown"));
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
    once.setStoreFault({{"mode", "down"}});
    EXPECT_EQ(claims({}).status, 5);
    once.setStoreFault({{"mode", "none"}});
}

class OnceTest : public testing::TestWithParam<OnceCase>
{
};

// Guards against a call that may not be repeated being executed twice, against "not_run" for an executed call and against "done" for a call that was not
// executed, with one fault in each case.
TEST_P(OnceTest, OutcomesMatchExecutions)
{
    Harness::SitePlan plan = smallPlan({orderDesk(3)});
    plan.proxyBeforeObjectApi = GetParam().proxy;
    plan.timing["store_timeout_ms"] = GetParam().storeTimeout;
    plan.entrySettings["claim_dispatch_window_ms"] = dispatchWindowMs;
    OnceSite once(std::move(plan));
    startSite(once.site);
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(once.waitUntilReady());
    GetParam().run(once);
    once.expectOutcomesMatchExecutions();
}

INSTANTIATE_TEST_SUITE_P(Table, OnceTest,
                         testing::Values(OnceCase{"entry_killed_after_dispatch",
                                                  [](OnceSite &once) {
                                                      entryKilledAfterDispatch(once, "k", 1);
                                                  }},
                                         OnceCase{"entry_paused_after_claim", &entryPausedAfterClaim, false, longStoreTimeoutMs},
                                         OnceCase{"store_down", &storeDown}, OnceCase{"store_slower_than_its_timeout", &storeSlowerThanItsTimeout},
                                         OnceCase{"store_loses_answers", &storeLosesResponses}, OnceCase{"store_stale", &storeStale},
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
                                         OnceCase{"agent_killed_during_call", &agentKilledDuringCall},
                                         OnceCase{"agents_gone_then_back", &agentsKilledAndRestarted},
                                         OnceCase{"same_key_at_all_entries", &sameKeyAtAllEntriesAtOnce}, OnceCase{"same_key_other_body", &sameKeyOtherBody},
                                         OnceCase{"repeat_after_done", &repeatAfterDone}, OnceCase{"operators_see_claims", &operatorsSeeClaims}),
                         [](const auto &info) { return info.param.name; });

} // namespace
