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

Told OnceSite::attempt(int entry, const std::string &key, const std::string &body)
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

void OnceSite::expectEventuallyDone(int entry, const std::string &key)
{
    Told last;
    EXPECT_TRUE(Harness::waitUntil(eventLimitMs,
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
    for (const std::string &agent : this->site.agents(desk)) {
        sum += this->executionsAt(agent);
    }
    return sum;
}

bool OnceSite::waitReady()
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

bool OnceSite::waitExecutions(uint64_t count)
{
    return Harness::waitUntil(eventLimitMs, [&] { return this->executions() >= count; });
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

bool OnceSite::waitClaim(const std::string &state) const
{
    return Harness::waitUntil(eventLimitMs, [&] {
        const std::vector<std::string> states = this->claimStates();
        return std::ranges::find(states, state) != states.end();
    });
}

void OnceSite::setUpstreams(const std::string &mode)
{
    for (const std::string &agent : this->site.agents(desk)) {
        setFault(this->site.upstreamAddress(agent), {{"mode", mode}});
    }
}

void OnceSite::setStore(const nlohmann::json &fault)
{
    setFault(this->site.objectApi(), fault);
}

void OnceSite::setProxy(const nlohmann::json &fault)
{
    const auto set = Harness::postJson(this->site.objectApiProxyAdmin(), "/fault", fault);
    ASSERT_TRUE(set.ok()) << set.status();
}

std::string OnceSite::agentThatRan()
{
    for (const std::string &agent : this->site.agents(desk)) {
        if (this->executionsAt(agent) > 0) {
            return agent;
        }
    }
    return "";
}

void OnceSite::expectTruth()
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
