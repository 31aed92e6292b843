#include "Transcript.h"

#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds settleLimitMs = 30'000;

Harness::SitePlan goldenPlan()
{
    Harness::SitePlan plan;
    plan.binFolder = CATKINLINK_BIN;
    plan.entries = 1;
    plan.domains = {{"lima", "coast"}};
    plan.services = {
        {"bench-assistant", true, 1},
        {"order-desk",
         false,
         1,
         {{{"method", "POST"}, {"path", "/shipments/"}, {"repeatable", false}}, {{"method", "GET"}, {"path", "/stock/"}, {"repeatable", true}}}},
    };
    plan.accounts = 2;
    plan.engineFlags = {"--token-ms", "1", "--load-ms", "10", "--cold-ms", "0"};
    return plan;
}

LibHttp::HttpRequest completionRequest(Harness::Site &site, bool stream)
{
    const nlohmann::json body{{"model", "bench-assistant"}, {"prompt", "How long does resin cure?"}, {"max_tokens", 3}, {"stream", stream}};
    return {.method = "POST",
            .path = "/v1/completions",
            .headers = {{"authorization", "Bearer " + site.accountKey(1)}, {"x-request-id", "session-call"}},
            .body = body.dump()};
}

LibHttp::HttpRequest shipmentRequest(Harness::Site &site, const std::string &key, const std::string &body)
{
    LibHttp::HttpRequest request{.method = "POST", .path = "/services/order-desk/shipments/confirm", .body = body};
    request.headers = {{"authorization", "Bearer " + site.accountKey(1)}, {"x-request-id", "session-shipment"}};
    if (!key.empty()) {
        request.headers["idempotency-key"] = key;
    }
    return request;
}

void callerSession(Harness::Site &site, Transcript &transcript)
{
    const AK::Endpoint entry = site.entryAddress(1);
    transcript.note("a caller asks for an address, then for a whole and a streamed answer");
    transcript.call("caller", entry, {.path = "/v1/addresses", .headers = {{"authorization", "Bearer " + site.accountKey(1)}}});
    transcript.call("caller", entry, completionRequest(site, false));
    transcript.call("caller", entry, completionRequest(site, true));
    transcript.note("an unknown key and an unknown service are refused");
    LibHttp::HttpRequest unknownKey = completionRequest(site, false);
    unknownKey.headers["authorization"] = "Bearer nobody";
    transcript.call("caller", entry, unknownKey);
    LibHttp::HttpRequest unknownService = completionRequest(site, false);
    unknownService.body = R"({"model":"ledger-oracle","prompt":"?"})";
    transcript.call("caller", entry, unknownService);
}

void shipmentSession(Harness::Site &site, Transcript &transcript)
{
    const AK::Endpoint entry = site.entryAddress(1);
    transcript.note("a confirmation without a key, with a key, repeated, and with another body");
    transcript.call("caller", entry, shipmentRequest(site, "", R"({"order":1})"));
    transcript.call("caller", entry, shipmentRequest(site, "order-1", R"({"order":1})"));
    transcript.call("caller", entry, shipmentRequest(site, "order-1", R"({"order":1})"));
    transcript.call("caller", entry, shipmentRequest(site, "order-1", R"({"order":2})"));
    transcript.note("the store is down: a new confirmation is not run, a recorded one cannot be read");
    (void)Harness::postJson(site.objectApi(), "/fake/fault", {{"mode", "down"}});
    transcript.call("caller", entry, shipmentRequest(site, "order-3", R"({"order":3})"));
    (void)Harness::postJson(site.objectApi(), "/fake/fault", {{"mode", "none"}});
    transcript.note("the store is back: the same key runs");
    transcript.call("caller", entry, shipmentRequest(site, "order-3", R"({"order":3})"));
}

void operatorSession(Harness::Site &site, Transcript &transcript)
{
    const std::vector<std::string> common{"--entry", site.entryAddress(1).text(), "--key-file", site.operatorKeyFile()};
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), common.begin(), common.end());
        transcript.command(arguments);
    };
    transcript.note("taking out the last capacity is refused, with --force it is done, then undone");
    run({"domain", "out", "lima", "--reason", "switch maintenance"});
    run({"domain", "out", "lima", "--reason", "switch maintenance", "--force"});
    run({"domain", "in", "lima", "--reason", "maintenance done"});
    run({"upstream", "out", "bench-assistant-9", "--reason", "typing error"});
    run({"audit"});
    run({"audit", "verify"});
}

struct SessionCase {
    const char *name;
    void (*run)(Harness::Site &site, Transcript &transcript);
};

class SessionTest : public testing::TestWithParam<SessionCase>
{
};

// Guards against unnoticed changes of status codes, outcome headers, error bodies and command output that callers and operators see.
TEST_P(SessionTest, MatchesTheGoldenFile)
{
    Harness::Site site(goldenPlan());
    ASSERT_TRUE(site.start().ok());
    const absl::Status applied = site.applyInitial();
    ASSERT_TRUE(applied.ok()) << applied;
    const absl::Status serving = site.waitServing("bench-assistant", "1", settleLimitMs);
    ASSERT_TRUE(serving.ok()) << serving;
    Transcript transcript(site);
    GetParam().run(site, transcript);
    EXPECT_EQ(compareWithGolden(GetParam().name, transcript.text()), "");
}

INSTANTIATE_TEST_SUITE_P(Table, SessionTest,
                         testing::Values(SessionCase{"caller", &callerSession}, SessionCase{"shipment", &shipmentSession},
                                         SessionCase{"operator", &operatorSession}),
                         [](const auto &info) { return info.param.name; });

} // namespace
