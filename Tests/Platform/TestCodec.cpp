#include "SettingsText.h"

#include <AK/Text.h>
#include <gtest/gtest.h>
#include <platform/CallHeaders.h>
#include <platform/Directory.h>
#include <platform/NodeSettings.h>
#include <platform/ObjectCodec.h>

namespace
{

using namespace Platform;

TEST(NodeSettings, IgnoresUnknownFields)
{
    const auto settings = parseNodeSettings(validSettings);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->name, "front-1");
    EXPECT_EQ(settings->clientAddress->text(), "10.1.0.40:8005");
    EXPECT_FALSE(settings->readinessAddress.has_value());
    EXPECT_EQ(settings->store.text(), "10.200.1.7:8007");
    EXPECT_EQ(settings->innerPort, 7700);
    EXPECT_EQ(settings->seeds.size(), 1U);
    EXPECT_EQ(settings->bounds.shutdownGracePeriod, 8'000);
    EXPECT_EQ(settings->bounds.maxWeightsRolloutTime, 9'000);
    EXPECT_EQ(settings->bounds.retryRatio, 0.25);
}

struct InvalidSettingsCase {
    const char *name;
    std::string from;
    std::string to;
    std::string path;
};

class InvalidSettingsTest : public testing::TestWithParam<InvalidSettingsCase>
{
};

// Guards against a process that starts with invalid settings, and against errors without the path of the field.
TEST_P(InvalidSettingsTest, NamesTheField)
{
    std::string text = validSettings;
    const size_t at = text.find(GetParam().from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().from.size(), GetParam().to);
    const auto settings = parseNodeSettings(text);
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(settings.status().message().find(GetParam().path), absl::string_view::npos) << settings.status();
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidSettingsTest,
                         testing::Values(InvalidSettingsCase{"no_name", "nodeName: \"front-1\"", "", "nodeName"},
                                         InvalidSettingsCase{"bad_listen", "10.1.0.40:8005", "front:8005", "listen.front"},
                                         InvalidSettingsCase{"bad_seed", "10.2.0.37:8000", "10.2.0.37", "seeds.0"},
                                         InvalidSettingsCase{"bad_bound", "graceS: 8", "graceS: soon", "bounds.graceS"},
                                         InvalidSettingsCase{"no_window", "graceS: 8", "budgetWindowS: 0", "bounds.budgetWindowS"},
                                         InvalidSettingsCase{"no_link", "linkMbps: 100", "linkMbps: 0", "limits.linkMbps"},
                                         InvalidSettingsCase{"no_store", "addr: \"10.200.1.7:8007\"", "addr: \"\"", "addr"},
                                         InvalidSettingsCase{"no_table", "platform:\n  addr: \"10.200.1.7:8007\"", "platform: 5", "platform"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct PromptPartsCase {
    const char *name;
    std::string header;
    std::vector<std::string> shared;
    std::string last;
};

class PromptPartsTest : public testing::TestWithParam<PromptPartsCase>
{
};

// Guards against a part of a prompt that is taken for another one, and against the last part being taken for a shared one.
TEST_P(PromptPartsTest, AreDecoded)
{
    const auto call = CallHeaders().decodeRequest({"POST", "/a", {{"Host", "h"}, {"X-Prompt-Prefix", GetParam().header}}});
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->sharedPromptParts, GetParam().shared);
    EXPECT_EQ(call->lastPromptPart, GetParam().last);
}

std::string manyParts(size_t count)
{
    std::string header;
    for (size_t i = 0; i < count; ++i) {
        header += "ab:1,";
    }
    return header + "cd:1";
}

INSTANTIATE_TEST_SUITE_P(Table, PromptPartsTest,
                         testing::Values(PromptPartsCase{"three", "5c1e07a2:800,91BD3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}, "e4402b7d"},
                                         PromptPartsCase{"spaces", "5c:8, 91:4, e4:2", {"5c", "91"}, "e4"}, PromptPartsCase{"one", "5c:8", {}, "5c"},
                                         PromptPartsCase{"empty", "", {}, ""}, PromptPartsCase{"without_tokens", "5c,91", {"5c"}, "91"},
                                         PromptPartsCase{"empty_parts", ",,5c:1,,91:2", {"5c"}, "91"},
                                         PromptPartsCase{"long_id", std::string(65, 'a') + ":1,5c:1,91:1", {"5c"}, "91"},
                                         PromptPartsCase{"not_an_id", "../config/main:1,5c:1,91:1", {"5c"}, "91"},
                                         PromptPartsCase{"many", manyParts(40), std::vector<std::string>(32, "ab"), "cd"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct RateLimitCase {
    const char *name;
    std::string header;
    std::optional<double> limit;
};

class RateLimitHeaderTest : public testing::TestWithParam<RateLimitCase>
{
};

// Guards against a limit that is misread, and against one made of text that names none.
TEST_P(RateLimitHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({200, "OK", {{"Server-Limit", GetParam().header}}}).callsPerSecondLimit, GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(Table, RateLimitHeaderTest,
                         testing::Values(RateLimitCase{"decimal", "2.75", 2.75}, RateLimitCase{"whole", "12", 12}, RateLimitCase{"none_taken", "0", 0},
                                         RateLimitCase{"negative", "-1", std::nullopt}, RateLimitCase{"text", "soon", std::nullopt},
                                         RateLimitCase{"unit", "3/s", std::nullopt}, RateLimitCase{"empty", "", std::nullopt},
                                         RateLimitCase{"infinite", "inf", std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LeavingCase {
    const char *name;
    int status;
    LibHttpStream::Headers headers;
    bool leaving;
};

class LeavingHeaderTest : public testing::TestWithParam<LeavingCase>
{
};

// Guards against an upstream whose leaving is overlooked because of the response's status, and against one that is given up because of other text.
TEST_P(LeavingHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({GetParam().status, "", GetParam().headers}).leaving, GetParam().leaving);
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingHeaderTest,
                         testing::Values(LeavingCase{"answer", 200, {{"Server-Leaving", "1"}}, true},
                                         LeavingCase{"refusal", 503, {{"Server-Leaving", "1"}}, true},
                                         LeavingCase{"failure", 500, {{"server-leaving", "1"}}, true}, LeavingCase{"absent", 200, {}, false},
                                         LeavingCase{"zero", 200, {{"Server-Leaving", "0"}}, false},
                                         LeavingCase{"text", 200, {{"Server-Leaving", "soon"}}, false},
                                         LeavingCase{"empty", 200, {{"Server-Leaving", ""}}, false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct PauseCase {
    const char *name;
    int status;
    std::string header;
    std::optional<AK::Milliseconds> pause;
};

class PauseHeaderTest : public testing::TestWithParam<PauseCase>
{
};

// Guards against a pause that is cut short by a lost fraction, and against one made of text or of a number that names none.
TEST_P(PauseHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({GetParam().status, "", {{"Retry-After", GetParam().header}}}).pause, GetParam().pause);
}

INSTANTIATE_TEST_SUITE_P(Table, PauseHeaderTest,
                         testing::Values(PauseCase{"whole", 503, "3", 3'000}, PauseCase{"fraction", 503, "2.75", 2'750},
                                         PauseCase{"rounded_up", 503, "0.0001", 1}, PauseCase{"zero", 503, "0", 0},
                                         PauseCase{"other_status", 429, "3", std::nullopt}, PauseCase{"answer", 200, "3", std::nullopt},
                                         PauseCase{"negative", 503, "-1", std::nullopt}, PauseCase{"text", 503, "soon", std::nullopt},
                                         PauseCase{"date", 503, "Sat, 05 Dec 2026 04:20:00 GMT", std::nullopt}, PauseCase{"unit", 503, "3s", std::nullopt},
                                         PauseCase{"empty", 503, "", std::nullopt}, PauseCase{"infinite", 503, "inf", std::nullopt},
                                         PauseCase{"not_a_number", 503, "nan", std::nullopt}, PauseCase{"overflow", 503, "1e400", std::nullopt},
                                         PauseCase{"overflow_in_ms", 503, "1e17", std::nullopt}, PauseCase{"long", 503, "86400", 86'400'000}),
                         [](const auto &info) { return std::string(info.param.name); });

LibHttpStream::RequestHead clientRequest()
{
    return {"POST",
            "/lepu/2f?q=1",
            {{"Host", "jepu9.example"},
             {"X-Attempt-Id", "9c41"},
             {"X-Deadline-Ms", "6000"},
             {"X-Api-Key", "secret"},
             {"X-Tenant", "forged"},
             {"X-Token-Count", "1460,80"},
             {"X-Length-Hint", "70"},
             {"Last-Event-Id", "12"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"X-Other", "kept"}}};
}

TEST(CallHeaders, DecodesACall)
{
    const auto call = CallHeaders().decodeRequest(clientRequest());
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->id, "9c41");
    EXPECT_EQ(call->host, "jepu9.example");
    EXPECT_EQ(call->path, "/lepu/2f");
    EXPECT_EQ(call->clientTimeout, 6'000);
    EXPECT_EQ(call->key, "secret");
    EXPECT_EQ(call->promptTokens, 1460);
    EXPECT_EQ(call->answerTokenLimit, 80);
    EXPECT_EQ(call->answerTokenHint, 70);
    EXPECT_EQ(call->lastEventId, "12");
}

// Guards against API keys, account names forged by a client and hop-by-hop headers that reach an upstream, and against a wrong request target or deadline.
TEST(CallHeaders, EncodesForOneUpstream)
{
    const CallHeaders codec;
    const auto head = clientRequest();
    const auto sent = codec.encodeRequest(head, {"i-1", "bozi", 4321, 2, 3, std::string("15")});
    EXPECT_EQ(sent.target, "/lepu/2f?q=1");
    const std::map<std::string, std::string> expected{{"Host", "jepu9.example"},   {"X-Attempt-Id", "9c41"},     {"X-Deadline-Ms", "4321"},
                                                      {"X-Tenant", "bozi"},        {"X-Token-Count", "1460,80"}, {"X-Length-Hint", "70"},
                                                      {"Last-Event-Id", "15"},     {"X-Other", "kept"},          {"X-Expect-Instance", "i-1"},
                                                      {"X-Request-Priority", "2"}, {"X-Expect-Version", "3"}};
    std::map<std::string, std::string> found;
    for (const auto &header : sent.headers) {
        EXPECT_TRUE(found.emplace(header.name, header.value).second) << header.name << " twice";
    }
    EXPECT_EQ(found, expected);
}

struct InvalidCallCase {
    const char *name;
    std::string header;
    std::string value;
};

class InvalidCallTest : public testing::TestWithParam<InvalidCallCase>
{
};

TEST_P(InvalidCallTest, IsRejected)
{
    LibHttpStream::RequestHead head = clientRequest();
    for (auto &header : head.headers) {
        header.value = header.name == GetParam().header ? GetParam().value : header.value;
    }
    EXPECT_FALSE(CallHeaders().decodeRequest(head).ok());
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidCallTest,
                         testing::Values(InvalidCallCase{"no_host", "Host", ""}, InvalidCallCase{"deadline_no_number", "X-Deadline-Ms", "soon"},
                                         InvalidCallCase{"deadline_negative", "X-Deadline-Ms", "-5"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct AnswerCase {
    const char *name;
    LibHttpStream::Headers headers;
    bool notRun;
    bool authentic;
    int running;
};

class AnswerTest : public testing::TestWithParam<AnswerCase>
{
};

TEST_P(AnswerTest, IsDecoded)
{
    const auto info = CallHeaders().decodeResponse({503, "", GetParam().headers});
    EXPECT_EQ(info.notRun, GetParam().notRun);
    EXPECT_EQ(info.authentic, GetParam().authentic);
    EXPECT_EQ(info.load ? info.load->running : -1, GetParam().running);
}

INSTANTIATE_TEST_SUITE_P(Table, AnswerTest,
                         testing::Values(AnswerCase{"refused", {{"X-Not-Executed", "1"}}, true, false, -1},
                                         AnswerCase{"ran", {{"X-Server-Seal", "3e1b"}, {"X-Worker-Load", "3,0,8"}}, false, true, 3},
                                         AnswerCase{"broken_load", {{"X-Worker-Load", "3,x"}}, false, false, -1},
                                         AnswerCase{"load_that_overflows", {{"X-Worker-Load", "2147483646,2147483646,8"}}, false, false, -1},
                                         AnswerCase{"negative_load", {{"X-Worker-Load", "3,-1,8"}}, false, false, -1}),
                         [](const auto &info) { return std::string(info.param.name); });

struct UpstreamCase {
    const char *name;
    std::string spec;
    bool valid;
    int64_t weights;
};

class UpstreamTest : public testing::TestWithParam<UpstreamCase>
{
};

// Guards against malformed records by other writers that are accepted as upstreams, and against an engine that counts as loaded with only some of its layers.
TEST_P(UpstreamTest, IsDecodedOrRejected)
{
    const auto record = decodeUpstream("i-1", GetParam().spec, 16, 1'000);
    ASSERT_EQ(record.ok(), GetParam().valid) << record.status();
    if (record.ok()) {
        EXPECT_EQ(record->weightsVersion, GetParam().weights);
    }
}

const std::string upstreamStart = R"({"service":"s","addr":"10.1.0.2:80","zone":"z","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":3)";

INSTANTIATE_TEST_SUITE_P(
    Table, UpstreamTest,
    testing::Values(UpstreamCase{"plain", upstreamStart + "}", true, 0},
                    UpstreamCase{"whole", upstreamStart + R"(,"models":[{"version":2}],"layers":{"from":0,"to":16,"version":2}})", true, 2},
                    UpstreamCase{"part", upstreamStart + R"(,"models":[{"version":2}],"layers":{"from":0,"to":8,"version":2}})", true, 0},
                    UpstreamCase{"other_version", upstreamStart + R"(,"models":[{"version":2}],"layers":{"from":0,"to":16,"version":1}})", true, 0},
                    UpstreamCase{"empty", upstreamStart + R"(,"models":[],"layers":null})", true, 0}, UpstreamCase{"no_object", "7", false, 0},
                    UpstreamCase{"no_json", "{", false, 0},
                    UpstreamCase{"unknown_state",
                                 R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":1,"state":"odd","coldLeftMs":0,"seq":3})", false, 0},
                    UpstreamCase{"address_no_ip",
                                 R"({"service":"s","addr":"host:5","zone":"z","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":3})", false, 0},
                    UpstreamCase{"slots_text",
                                 R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":"16","state":"ready","coldLeftMs":0,"seq":3})", false,
                                 0}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against one malformed object that prevents the others from being decoded.
TEST(ObjectCodec, SkipsOnlyMalformedObjects)
{
    const AK::SystemClock clock;
    LibMetrics::MetricRegistry metrics;
    ObjectCodec codec(clock, 0, metrics);
    LibFleet::FleetState state(clock);
    codec.decode(LibFleet::ObjectKind::Upstreams, {{"a", upstreamStart + "}"}, {"b", "rubbish"}}, state);
    EXPECT_EQ(state.upstreams().size(), 1U);
    codec.decode(LibFleet::ObjectKind::Configuration, {{"main", R"({"version":3,"routes":[],"services":[{"name":"s"}],"limits":{}})"}}, state);
    codec.decode(LibFleet::ObjectKind::Configuration, {{"main", R"({"version":4,"routes":[{"host":"h"}]})"}}, state);
    EXPECT_EQ(state.configuration()->version, 3) << "a malformed configuration changes nothing";
    codec.decode(
        LibFleet::ObjectKind::Upstreams,
        {{"a", upstreamStart + "}"}, {"c", R"({"service":"t","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":3})"}},
        state);
    EXPECT_EQ(state.upstreams().size(), 1U) << "an upstream of an unknown service is skipped";
}

// Guards against a quarantined part that is lost between the store and the entries, and against one that stays after its object is gone.
TEST(ObjectCodec, DecodesQuarantinedParts)
{
    AK::SystemClock clock;
    LibFleet::FleetState state(clock);
    LibMetrics::MetricRegistry metrics;
    ObjectCodec codec(clock, 0, metrics);
    codec.decode(LibFleet::ObjectKind::QuarantinedParts, {{"5c1e07a2", R"({"reason":"crashes upstreams"})"}, {"91bd3f06", "null"}}, state);
    EXPECT_EQ(state.quarantinedParts(), (std::set<std::string>{"5c1e07a2", "91bd3f06"}));
    codec.decode(LibFleet::ObjectKind::QuarantinedParts, {{"91bd3f06", "null"}}, state);
    EXPECT_EQ(state.quarantinedParts(), (std::set<std::string>{"91bd3f06"}));
}

TEST(ObjectCodec, DecodesAConfiguration)
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,)"
        R"("trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":2,"resumable":true,"allowedRegions":["x"]}],)"
        R"("services":[{"name":"a","coldStartS":3.0,"coldPerS":36.0,"engine":{"slots":16,"layers":16,"chunks":96,"models":[{"name":"m"}]}},)"
        R"({"name":"o","origin":"172.20.0.3:8006","zone":"z"}],)"
        R"("limits":{"idleTimeoutMs":9000},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0}]})");
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    ASSERT_EQ(configuration->routes.size(), 1U);
    EXPECT_EQ(configuration->routes[0].kind, LibFleet::RouteKind::Stream);
    EXPECT_TRUE(configuration->routes[0].repeatable());
    EXPECT_EQ(configuration->routes[0].services.size(), 2U);
    EXPECT_EQ(configuration->services.at("a").engine->model, "m");
    EXPECT_EQ(configuration->services.at("a").coldCallsPerSecond, 36);
    EXPECT_EQ(configuration->services.at("o").origin->text(), "172.20.0.3:8006");
    EXPECT_EQ(configuration->limits.idleTimeout, 9'000);
    EXPECT_EQ(configuration->accountsByKey.at("k2")->priority, 0);
}

struct GapLimitCase {
    const char *name;
    const char *kind;
    int targetLatency;
    int gapTarget;
    AK::Milliseconds limit;
};

class GapLimitTest : public testing::TestWithParam<GapLimitCase>
{
};

// Guards against streams that wait for longer than their clients do.
TEST_P(GapLimitTest, FollowsTheRoute)
{
    const GapLimitCase &row = GetParam();
    const auto configuration =
        decodeConfiguration(AK::concat(R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":")", row.kind, R"(","targetLatencyMs":)",
                                       row.targetLatency, R"(,"gapTargetMs":)", row.gapTarget, R"(,"service":"a"}],"services":[{"name":"a"}],"limits":{}})"));
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    EXPECT_EQ(configuration->routes[0].clientGapLimit, row.limit);
}

INSTANTIATE_TEST_SUITE_P(Table, GapLimitTest,
                         testing::Values(GapLimitCase{"shortest", "streaming", 300, 200, 2'000}, GapLimitCase{"latency", "streaming", 900, 400, 3'600},
                                         GapLimitCase{"gap", "streaming", 400, 500, 4'000}, GapLimitCase{"no_stream", "safe", 900, 900, 0}),
                         [](const auto &info) { return info.param.name; });

TEST(Directory, ReadsTheFailureDomainAndWritesAddresses)
{
    EXPECT_EQ(failureDomainOfClient({"GET", "/v1/resolve?name=a&region=lima&zone=lima-1", {}}), "lima-1");
    EXPECT_EQ(failureDomainOfClient({"GET", "/v1/resolve", {}}), "");
    EXPECT_TRUE(isAddressRequest({"GET", "/v1/resolve?name=a", {}}));
    EXPECT_FALSE(isAddressRequest({"POST", "/v1/resolve", {}}));
    EXPECT_EQ(encodeAddresses({{"10.1.0.40", 8005}}, 2'000), R"({"addresses":["10.1.0.40:8005"],"ttlS":2})");
    EXPECT_EQ(encodeAddresses({}, 1'500), R"({"addresses":[],"ttlS":1.5})");
}

} // namespace
