#include "OnceSite.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>

namespace
{

constexpr AK::Milliseconds callDeadlineMs = 3'000;

} // namespace

OnceSite::OnceSite(Harness::SitePlan plan)
    : site(std::move(plan))
{
}

AttemptResult OnceSite::attempt(int entry, const std::string &key, const std::string &body)
{
    AttemptResult result{key, AK::concat(key, "/", ++this->attemptCount), "", 0, ""};
    LibHttp::HttpRequest request{.method = "POST", .path = AK::concat("/services/", orderDeskName, "/shipments/confirm")};
    request.headers = {{"authorization", "Bearer " + this->site.accountKey(1)},
                       {"idempotency-key", key},
                       {"x-request-id", result.requestId},
                       {"x-deadline-ms", std::to_string(callDeadlineMs)}};
    request.body = body;
    const auto response = LibHttp::httpCall(this->site.entryAddress(entry), request, waitLimitMs);
    if (response.ok()) {
        result.status = response->status;
        result.outcome = LibHttp::headerOr(response->headers, "x-catkinlink-outcome");
        result.body = response->body;
    } else {
        result.outcome = LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent ? "not_run" : "unknown";
    }
    const std::lock_guard lock(this->mutex);
    this->results.push_back(result);
    return result;
}

void OnceSite::expectEventuallyDone(int entry, const std::string &key)
{
    AttemptResult last;
    EXPECT_TRUE(Harness::waitUntil(waitLimitMs,
                                   [&] {
                                       last = this->attempt(entry, key);
                                       return last.outcome == "done";
                                   }))
        << key << " ended as " << last.outcome << ": " << last.body;
}

uint64_t OnceSite::executionsAt(const std::string &agent)
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

uint64_t OnceSite::executions()
{
    uint64_t sum = 0;
    for (const std::string &agent : this->site.agents(orderDeskName)) {
        sum += this->executionsAt(agent);
    }
    return sum;
}

bool OnceSite::waitUntilReady()
{
    return Harness::waitUntil(waitLimitMs, [&] {
        for (int entry = 1; entry <= this->site.plan().entries; ++entry) {
            const LibHttp::HttpRequest request{.path = AK::concat("/services/", orderDeskName, "/stock"),
                                               .headers = {{"authorization", "Bearer " + this->site.accountKey(1)}}};
            const auto response = LibHttp::httpCall(this->site.entryAddress(entry), request, callDeadlineMs);
            if (!response.ok() || response->status != 200) {
                return false;
            }
        }
        return true;
    });
}

bool OnceSite::waitForExecutions(uint64_t count)
{
    return Harness::waitUntil(waitLimitMs, [&] { return this->executions() >= count; });
}

std::vector<std::string> OnceSite::claimStates() const
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

bool OnceSite::waitForClaim(const std::string &state) const
{
    return Harness::waitUntil(waitLimitMs, [&] {
        const std::vector<std::string> states = this->claimStates();
        return std::ranges::find(states, state) != states.end();
    });
}

void OnceSite::setUpstreamFaults(const std::string &mode)
{
    for (const std::string &agent : this->site.agents(orderDeskName)) {
        setFault(this->site.upstreamAddress(agent), {{"mode", mode}});
    }
}

void OnceSite::setStoreFault(const nlohmann::json &fault)
{
    setFault(this->site.objectApi(), fault);
}

void OnceSite::setProxyFault(const nlohmann::json &fault)
{
    const auto set = Harness::postJson(this->site.objectApiProxyAdmin(), "/fault", fault);
    ASSERT_TRUE(set.ok()) << set.status();
}

std::string OnceSite::agentThatExecuted()
{
    for (const std::string &agent : this->site.agents(orderDeskName)) {
        if (this->executionsAt(agent) > 0) {
            return agent;
        }
    }
    return "";
}

void OnceSite::expectOutcomesMatchExecutions()
{
    std::map<std::string, int> byKey;
    std::set<std::string> executedIds;
    for (const std::string &agent : this->site.agents(orderDeskName)) {
        const auto counts = Harness::getJson(this->site.upstreamAddress(agent), "/fake/executions");
        const auto requests = Harness::getJson(this->site.upstreamAddress(agent), "/fake/requests");
        if (!counts.ok() || !requests.ok()) {
            // Only killed upstreams do not respond; they were killed before any call was made, so they have executed none.
            EXPECT_TRUE(this->killedUpstreams.contains(agent)) << counts.status();
            continue;
        }
        for (const auto &[key, count] : counts->items()) {
            byKey[key] += count.get<int>();
        }
        for (const nlohmann::json &requestId : requests->at("executed")) {
            executedIds.insert(requestId.get<std::string>());
        }
    }
    for (const auto &[key, count] : byKey) {
        EXPECT_LE(count, 1) << key << " was executed " << count << " times";
    }
    for (const AttemptResult &result : this->results) {
        if (result.outcome == "not_run") {
            EXPECT_FALSE(executedIds.contains(result.requestId)) << result.requestId << " has the outcome not_run but was executed";
        } else if (result.outcome == "done") {
            EXPECT_EQ(byKey[result.key], 1) << result.requestId << " has the outcome done";
        } else {
            EXPECT_EQ(result.outcome, "unknown") << result.requestId << " has status " << result.status << ": " << result.body;
        }
    }
}
