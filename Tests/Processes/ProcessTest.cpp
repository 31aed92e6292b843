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
            const absl::Status serving = site.waitServing(service.name, "1", eventLimitMs);
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

std::string expectedAnswer(const std::string &root, const std::string &prompt, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += AK::sha256Hex(AK::concat(root, "/", prompt, "/", i)).substr(0, 6) + " ";
    }
    return text;
}

std::string answerText(const std::string &body, bool stream)
{
    if (!stream) {
        const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
        return answer.is_object() && answer.contains("choices") ? answer["choices"][0].value("text", "") : "";
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
