#include "Site.h"

#include <nlohmann/json.hpp>

namespace
{

using TestSite::Site;

struct PlainCase {
    const char *name;
    std::string fault;
    std::string path;
    std::string key;
    int status;
    std::string outcome;
    int executions;
};

class PlainTest : public testing::TestWithParam<PlainCase>
{
};

nlohmann::json upstreamPost(const std::string &path, const std::string &body)
{
    const auto response = LibHttp::httpCall(TestSite::endpoint(1, 7400), {body.empty() ? "GET" : "POST", path, {}, {}, body}, 5'000);
    EXPECT_TRUE(response.ok()) << response.status();
    return response.ok() ? nlohmann::json::parse(response->body) : nlohmann::json();
}

// Guards against a second execution of a call that may not be repeated, and against a reported outcome that doesn't match what the upstream executed.
TEST_P(PlainTest, OutcomeMatchesExecution)
{
    const AK::SystemClock clock;
    Fakes::PlainService plain(clock, 0);
    Site site(
        LibSettings::UpstreamKind::Plain, [&plain](LibHttp::HttpExchange &exchange) { plain.handle(exchange); }, 4);
    upstreamPost("/fake/fault", nlohmann::json{{"mode", GetParam().fault}}.dump());
    LibHttp::HttpHeaders headers;
    if (!GetParam().key.empty()) {
        headers["idempotency-key"] = GetParam().key;
    }
    const auto response = site.post(GetParam().path, "{}", headers);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, GetParam().status) << response->body;
    EXPECT_EQ(LibHttp::headerOr(response->headers, "x-catkinlink-outcome"), GetParam().outcome);
    EXPECT_EQ(upstreamPost("/fake/stats", "")["executions"], GetParam().executions);
    if (GetParam().status == 200) {
        EXPECT_EQ(nlohmann::json::parse(response->body)["key"], GetParam().key);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PlainTest,
                         testing::Values(PlainCase{"confirm", "none", "/services/svc/confirm/7", "k1", 200, "done", 1},
                                         PlainCase{"confirm_without_key", "none", "/services/svc/confirm", "", 400, "not_run", 0},
                                         PlainCase{"confirm_cut_after_run", "cut_after_run", "/services/svc/confirm", "k1", 502, "unknown", 1},
                                         PlainCase{"confirm_cut_before_run", "cut_before_run", "/services/svc/confirm", "k1", 502, "unknown", 0},
                                         PlainCase{"stock", "none", "/services/svc/stock", "", 200, "done", 1},
                                         PlainCase{"not_declared_needs_key", "none", "/services/svc/stockpile", "", 400, "not_run", 0},
                                         PlainCase{"path_with_dots", "none", "/services/svc/stock/%2e%2e/confirm", "", 400, "not_run", 0}),
                         [](const auto &info) { return info.param.name; });

// Guards against a claim that the same agent runs twice. A duplicate may have run before, so its outcome is "unknown" and not "not_run".
TEST(PlainCalls, ClaimNonceRunsOnce)
{
    const AK::SystemClock clock;
    Fakes::PlainService plain(clock, 0);
    Site site(
        LibSettings::UpstreamKind::Plain, [&plain](LibHttp::HttpExchange &exchange) { plain.handle(exchange); }, 4);
    const auto first = site.post("/services/svc/confirm", "{}", {{"idempotency-key", "k"}});
    const auto second = site.post("/services/svc/confirm", "{}", {{"idempotency-key", "k"}});
    ASSERT_TRUE(first.ok() && second.ok());
    EXPECT_EQ(LibHttp::headerOr(first->headers, "x-catkinlink-outcome"), "done");
    EXPECT_EQ(LibHttp::headerOr(second->headers, "x-catkinlink-outcome"), "unknown");
    const nlohmann::json stats = upstreamPost("/fake/stats", "");
    EXPECT_EQ(stats["executions"], 1);
    EXPECT_EQ(stats["executed_twice"], 0);
}

} // namespace
