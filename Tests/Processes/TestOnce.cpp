#include "ProcessTest.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace
{

const std::string desk = "order-desk";
constexpr AK::Milliseconds callDeadlineMs = 3'000;
constexpr AK::Milliseconds storeTimeoutMs = 500;
constexpr AK::Milliseconds dispatchWindowMs = 1'000;
// Longer than the dispatch window and shorter than the store timeout of the plan that uses it.
constexpr AK::Milliseconds slowStoreMs = 1'500;
constexpr AK::Milliseconds patientStoreTimeoutMs = 5'000;

/// What a caller was told about one attempt.
struct Told {
    std::string key;
    std::string requestId;
    std::string outcome;
    int status = 0;
    std::string body;
};

/// A site with one service whose calls may not be repeated, and everything that its callers were told.
class OnceSite
{
public:
    explicit OnceSite(Harness::SitePlan plan)
        : site(std::move(plan))
    {
    }

    /// One attempt at one entry. Thread-safe.
    Told attempt(int entry, const std::string &key, const std::string &body = "{\"order\":1}")
    {
        Told told{key, AK::concat(key, "/", ++this->attempts), "", 0, ""};
        LibHttp::HttpRequest request{.method = "POST", .path = AK::concat("/services/", desk, "/shipments/confirm")};
        request.headers = {{"authorization", "Bearer " + this->site.accountKey(1)},
                           {"idempotency-key", key},
                           {"x-request-id", told.requestId},
                           {"x-deadline-ms", std::to_string(callDeadlineMs)}};
        request.body = body;
        const auto response = LibHttp::httpCall(this->site.entryAddress(entry), request, eventLimitMs);
        if (response.ok()) {
            told.status = response->status;
            told.outcome = LibHttp::headerOr(response->headers, "x-catkinlink-outcome");
            told.body = response->body;
        } else {
            told.outcome = LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent ? "not_run" : "unknown";
        }
        const std::lock_guard lock(this->mutex);
        this->all.push_back(told);
        return told;
    }

    /// Sends the same key to one entry until it is told `done`; a call that did not run must become free to run.
    void expectEventuallyDone(int entry, const std::string &key)
    {
        Told last;
        EXPECT_TRUE(Harness::waitUntil(eventLimitMs,
                                       [&] {
                                           last = this->attempt(entry, key);
                                           return last.outcome == "done";
                                       }))
            << key << " ended as " << last.outcome << ": " << last.body;
    }

    /// Executions at one upstream of calls with a key; those of the warm-up have none.
    uint64_t executionsAt(const std::string &agent)
    {
        uint64_t sum = 0;
        const auto counts = Harness::getJson(this->site.upstreamAddress(agent), "/fake/executions");
        if (counts.ok()) {
            for (const nlohmann::json &count : *counts) {
                sum += count.get<uint64_t>();
            }
        }
        return sum;
    }

    uint64_t executions()
    {
        uint64_t sum = 0;
        for (const std::string &agent : this->site.agents(desk)) {
            sum += this->executionsAt(agent);
        }
        return sum;
    }

    /// Waits until every entry routes calls to the service.
    bool waitReady()
    {
        return Harness::waitUntil(eventLimitMs, [&] {
            for (int entry = 1; entry <= this->site.plan().entries; ++entry) {
                const LibHttp::HttpRequest request{.path = AK::concat("/services/", desk, "/stock"),
                                                   .headers = {{"authorization", "Bearer " + this->site.accountKey(1)}}};
                const auto response = LibHttp::httpCall(this->site.entryAddress(entry), request, callDeadlineMs);
                if (!response.ok() || response->status != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    bool waitExecutions(uint64_t count)
    {
        return Harness::waitUntil(eventLimitMs, [&] { return this->executions() >= count; });
    }

    /// States of all claims in the store.
    std::vector<std::string> claimStates() const
    {
        std::vector<std::string> states;
        const auto listed = Harness::getJson(this->site.objectApi(), "/objects/claims");
        if (listed.ok()) {
            for (const nlohmann::json &claim : listed->at("objects")) {
                states.push_back(claim.at("value").at("state"));
            }
        }
        return states;
    }

    bool waitClaim(const std::string &state) const
    {
        return Harness::waitUntil(eventLimitMs, [&] {
            const std::vector<std::string> states = this->claimStates();
            return std::ranges::find(states, state) != states.end();
        });
    }

    void setUpstreams(const std::string &mode)
    {
        for (const std::string &agent : this->site.agents(desk)) {
            setFault(this->site.upstreamAddress(agent), {{"mode", mode}});
        }
    }

    void setStore(const nlohmann::json &fault)
    {
        setFault(this->site.objectApi(), fault);
    }

    void setProxy(const nlohmann::json &fault)
    {
        const auto set = Harness::postJson(this->site.objectApiProxyAdmin(), "/fault", fault);
        ASSERT_TRUE(set.ok()) << set.status();
    }

    /// The agent whose upstream has run a call.
    std::string agentThatRan()
    {
        for (const std::string &agent : this->site.agents(desk)) {
            if (this->executionsAt(agent) > 0) {
                return agent;
            }
        }
        return "";
    }

    /// Every key executed at most once over all upstreams, no attempt that was told "not run" has run, and every "done" has run.
    void expectTruth()
    {
        std::map<std::string, int> byKey;
        std::set<std::string> ranIds;
        for (const std::string &agent : this->site.agents(desk)) {
            const auto counts = Harness::getJson(this->site.upstreamAddress(agent), "/fake/executions");
            const auto requests = Harness::getJson(this->site.upstreamAddress(agent), "/fake/requests");
            if (!counts.ok() || !requests.ok()) {
                // Only the cases that kill upstreams come here, before any call was made.
                EXPECT_TRUE(this->killedUpstreams.contains(agent)) << counts.status();
                continue;
            }
            for (const auto &[key, count] : counts->items()) {
                byKey[key] += count.get<int>();
            }
            for (const nlohmann::json &requestId : requests->at("executed")) {
                ranIds.insert(requestId.get<std::string>());
            }
        }
        for (const auto &[key, count] : byKey) {
            EXPECT_LE(count, 1) << key << " was executed " << count << " times";
        }
        for (const Told &told : this->all) {
            if (told.outcome == "not_run") {
                EXPECT_FALSE(ranIds.contains(told.requestId)) << told.requestId << " was told not_run and has run";
            } else if (told.outcome == "done") {
                EXPECT_EQ(byKey[told.key], 1) << told.requestId << " was told done";
            } else {
                EXPECT_EQ(told.outcome, "unknown") << told.requestId << " got status " << told.status << ": " << told.body;
            }
        }
    }

    Harness::Site site;
    std::set<std::string> killedUpstreams;

private:
    std::mutex mutex;
    std::vector<Told> all;
    std::atomic<int> attempts{0};
};

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
