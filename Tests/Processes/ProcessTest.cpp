#include "ProcessTest.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <sstream>

Harness::SitePlan smallPlan(const std::vector<Harness::ServicePlan> &services)
{
    Harness::SitePlan plan;
    plan.binFolder = CATKINLINK_BIN;
    plan.services = services;
    plan.weightBytes = 256 << 10;
    plan.chunkBytes = 32 << 10;
    plan.engineFlags = {"--slots", "4", "--cold-slots", "1", "--cold-ms", "500", "--token-ms", "2", "--load-ms", "20"};
    plan.agentSettings = {{"capacity", 4}, {"cold_slots", 1}, {"ramp_step_ms", 300}};
    plan.entrySettings = {{"address_ttl_ms", 500}, {"propagation_ms", 1'000}};
    plan.timing = {{"gossip_interval_ms", 200}, {"status_poll_ms", 100}, {"suspect_timeout_ms", 1'500}, {"host_list_interval_ms", 300}};
    return plan;
}

Harness::ServicePlan modelService(int upstreams)
{
    return {"bench-assistant", true, upstreams};
}

Harness::ServicePlan orderDesk(int upstreams)
{
    return {"order-desk",
            false,
            upstreams,
            {{{"method", "POST"}, {"path", "/shipments"}, {"repeatable", false}}, {{"method", "GET"}, {"path", "/stock"}, {"repeatable", true}}}};
}

void startSite(Harness::Site &site)
{
    const absl::Status started = site.start();
    ASSERT_TRUE(started.ok()) << started;
    const absl::Status applied = site.applyInitial();
    ASSERT_TRUE(applied.ok()) << applied;
    for (const Harness::ServicePlan &service : site.plan().services) {
        if (service.engine) {
            const absl::Status serving = site.waitServing(service.name, "1", waitLimitMs);
            ASSERT_TRUE(serving.ok()) << serving;
        }
    }
}

int64_t upstreamStat(Harness::Site &site, const std::string &agent, const std::string &name)
{
    const auto stats = Harness::getJson(site.upstreamAddress(agent), "/fake/stats");
    return stats.ok() ? stats->value(name, int64_t{-1}) : -1;
}

void setFault(const AK::Endpoint &target, const nlohmann::json &fault)
{
    const auto set = Harness::postJson(target, "/fake/fault", fault);
    ASSERT_TRUE(set.ok()) << set.status();
}

std::string expectedText(const std::string &root, const std::string &prompt, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += AK::sha256Hex(AK::concat(root, "/", prompt, "/", i)).substr(0, 6) + " ";
    }
    return text;
}

std::string responseText(const std::string &body, bool stream)
{
    if (!stream) {
        const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
        return response.is_object() && response.contains("choices") ? response["choices"][0].value("text", "") : "";
    }
    std::string text;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        const nlohmann::json event = line.starts_with("data: {") ? nlohmann::json::parse(line.substr(6), nullptr, false) : nlohmann::json();
        if (event.is_object() && event.contains("choices")) {
            text += event["choices"][0].value("text", "");
        }
    }
    return text;
}

Harness::LoadPlan completionLoad(const std::string &service, double callsPerSecond, int tokens)
{
    Harness::LoadPlan plan;
    plan.callsPerSecond = callsPerSecond;
    plan.threads = 32;
    plan.makeCall = [service, tokens](uint64_t sequence) {
        return Harness::completionCall(service, AK::concat("batch ", sequence, " of resin"), sequence % 2 == 1, tokens);
    };
    plan.account = [](uint64_t sequence) {
        return static_cast<int>(sequence % 10) + 1;
    };
    return plan;
}

int64_t sumOfStat(Harness::Site &site, const std::vector<std::string> &agents, const std::string &name)
{
    int64_t sum = 0;
    for (const std::string &agent : agents) {
        const int64_t value = upstreamStat(site, agent, name);
        EXPECT_GE(value, 0) << "no counter " << name << " of " << agent;
        sum += value;
    }
    return sum;
}

std::vector<std::string> agentsOfDomain(Harness::Site &site, const std::string &service, const std::string &domain)
{
    std::vector<std::string> names;
    for (const std::string &agent : site.agents(service)) {
        if (site.failureDomainOf(agent) == domain) {
            names.push_back(agent);
        }
    }
    return names;
}

void restartEngine(Harness::Site &site, const std::string &agent)
{
    const auto restarted = Harness::postJson(site.upstreamAddress(agent), "/fake/restart", nlohmann::json::object());
    EXPECT_TRUE(restarted.ok()) << restarted.status();
}

uint64_t setDomainInService(Harness::Site &site, const std::string &domain, bool inService)
{
    const auto revision = site.change([&](nlohmann::json &document) { document["failure_domains"][domain]["in_service"] = inService; }, "domain change");
    EXPECT_TRUE(revision.ok()) << revision.status();
    return revision.value_or(0);
}

bool waitForStatusOfMember(Harness::Site &site, const std::string &member, const std::string &status)
{
    return Harness::waitUntil(waitLimitMs, [&] {
        for (int i = 1; i <= site.plan().entries; ++i) {
            if (!site.process(AK::concat("entry-", i)).running()) {
                continue;
            }
            const auto view = site.status(site.entryAddress(i));
            if (!view.ok()) {
                return false;
            }
            for (const nlohmann::json &known : view->at("members")) {
                if (known.at("name") == member && known.at("status") != status) {
                    return false;
                }
            }
        }
        return true;
    });
}

void expectOwnResponses(const std::vector<Harness::CallRecord> &records, const std::string &root, int tokens)
{
    for (const Harness::CallRecord &record : records) {
        const bool stream = record.body.starts_with("data:");
        const std::string expected = expectedText(root, record.label, tokens);
        if (record.complete) {
            EXPECT_EQ(responseText(record.body, stream), expected) << record.body;
            continue;
        }
        EXPECT_EQ(record.body.find("[DONE]"), std::string::npos) << record.body;
        if (stream) {
            EXPECT_TRUE(expected.starts_with(responseText(record.body, true))) << record.label << ": " << record.body;
        }
    }
}
