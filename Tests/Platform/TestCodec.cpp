#include "SettingsText.h"

#include <AK/Text.h>
#include <gtest/gtest.h>
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
                                         InvalidSettingsCase{"no_memory", "linkMbps: 100", "linkMbps: 100\n  memoryMb: 0", "limits.memoryMb"},
                                         InvalidSettingsCase{"no_link", "linkMbps: 100", "linkMbps: 0", "limits.linkMbps"},
                                         InvalidSettingsCase{"no_store", "addr: \"10.200.1.7:8007\"", "addr: \"\"", "addr"},
                                         InvalidSettingsCase{"no_table", "platform:\n  addr: \"10.200.1.7:8007\"", "platform: 5", "platform"}),
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
    codec.decode(LibFleet::ObjectKind::Upstreams, {{"a", upstreamStart + "}"}, {"b", "rubbish"}}, 0, state);
    EXPECT_EQ(state.upstreams().size(), 1U);
    codec.decode(LibFleet::ObjectKind::Configuration, {{"main", R"({"version":3,"routes":[],"services":[{"name":"s"}],"limits":{}})"}}, 0, state);
    codec.decode(LibFleet::ObjectKind::Configuration, {{"main", R"({"version":4,"routes":[{"host":"h"}]})"}}, 0, state);
    EXPECT_EQ(state.configuration()->version, 3) << "a malformed configuration changes nothing";
    codec.decode(
        LibFleet::ObjectKind::Upstreams,
        {{"a", upstreamStart + "}"}, {"c", R"({"service":"t","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":3})"}},
        0, state);
    EXPECT_EQ(state.upstreams().size(), 1U) << "an upstream of an unknown service is skipped";
}

// Guards against an older version in force after a loss of power of all hosts, because a late write of the operator has put it back into the store (review/7).
TEST(ObjectCodec, TakesTheNewestVersionThatEntriesRecorded)
{
    constexpr AK::Milliseconds ageAtStart = 4'000;
    const AK::SystemClock clock;
    LibMetrics::MetricRegistry metrics;
    ObjectCodec codec(clock, ageAtStart, metrics);
    const LibFleet::EntryRecord record{"e1", {"10.1.0.40", 8000}, {"10.1.0.40", 8005}, "lima", "lima-1", {{"m", 3}}};
    const std::string stale = R"({"model":"m","version":2})";
    for (const bool recordFirst : {true, false}) {
        LibFleet::FleetState state(clock);
        if (recordFirst) {
            codec.decode(LibFleet::ObjectKind::Entries, {{"e1", codec.encodeEntry(record)}}, 0, state);
            EXPECT_FALSE(state.weightsTargetsKnown()) << "the operator's own object has not been read";
        }
        codec.decode(LibFleet::ObjectKind::WeightsTargets, {{"m", stale}}, 0, state);
        codec.decode(LibFleet::ObjectKind::Entries, {{"e1", codec.encodeEntry(record)}}, 0, state);
        EXPECT_EQ(state.weightsTarget("m").version, 3) << recordFirst;
        EXPECT_GE(clock.uninterruptedTime() - state.weightsTarget("m").learnedAt, ageAtStart) << "nobody knows when it was named";
        EXPECT_EQ(state.newestWeightsTargets(), record.weightsTargets);
        EXPECT_EQ(state.entries().at("e1").weightsTargets, record.weightsTargets);
        // A version that is named later counts from then on.
        codec.decode(LibFleet::ObjectKind::WeightsTargets, {{"m", R"({"model":"m","version":4})"}}, 0, state);
        EXPECT_EQ(state.weightsTarget("m").version, 4);
        EXPECT_LT(clock.uninterruptedTime() - state.weightsTarget("m").learnedAt, ageAtStart);
    }
}

// Guards against a quarantined part that is lost between the store and the entries, and against one that stays after its object is gone.
TEST(ObjectCodec, DecodesQuarantinedParts)
{
    AK::SystemClock clock;
    LibFleet::FleetState state(clock);
    LibMetrics::MetricRegistry metrics;
    ObjectCodec codec(clock, 0, metrics);
    codec.decode(LibFleet::ObjectKind::QuarantinedParts, {{"5c1e07a2", R"({"reason":"crashes upstreams"})"}, {"91bd3f06", "null"}}, 0, state);
    EXPECT_EQ(state.quarantinedParts(), (std::set<std::string>{"5c1e07a2", "91bd3f06"}));
    codec.decode(LibFleet::ObjectKind::QuarantinedParts, {{"91bd3f06", "null"}}, 0, state);
    EXPECT_EQ(state.quarantinedParts(), (std::set<std::string>{"91bd3f06"}));
    // The crashes are no part.
    codec.decode(LibFleet::ObjectKind::QuarantinedParts, {{"91bd3f06", "null"}, {"crashes", R"({"crashes":[]})"}}, 0, state);
    EXPECT_EQ(state.quarantinedParts(), (std::set<std::string>{"91bd3f06"}));
    EXPECT_EQ(state.storedCrashes(), R"({"crashes":[]})");
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

struct QueryCase {
    const char *name;
    const char *target;
    const char *host;
    const char *failureDomain;
    const char *region;
};

class QueryTest : public testing::TestWithParam<QueryCase>
{
};

// Guards against clients that are taken for those of another failure domain or region.
TEST_P(QueryTest, TellsOfTheClient)
{
    const Gateway::DirectoryClient client = clientOf({"GET", GetParam().target, {}});
    EXPECT_EQ(client.host, GetParam().host);
    EXPECT_EQ(client.failureDomain, GetParam().failureDomain);
    EXPECT_EQ(client.region, GetParam().region);
}

INSTANTIATE_TEST_SUITE_P(Table, QueryTest,
                         testing::Values(QueryCase{"whole", "/v1/resolve?name=a.example&region=lima&zone=lima-1", "a.example", "lima-1", "lima"},
                                         QueryCase{"in_another_order", "/v1/resolve?zone=lima-1&name=a.example&region=lima", "a.example", "lima-1", "lima"},
                                         QueryCase{"no_query", "/v1/resolve", "", "", ""}, QueryCase{"empty_query", "/v1/resolve?", "", "", ""},
                                         QueryCase{"no_zone", "/v1/resolve?name=a&region=lima", "a", "", "lima"},
                                         QueryCase{"empty_zone", "/v1/resolve?name=a&region=lima&zone=", "a", "", "lima"},
                                         QueryCase{"no_value", "/v1/resolve?zone&region=lima", "", "", "lima"},
                                         QueryCase{"other_parameters", "/v1/resolve?timezone=x&region=lima&zone=a&b=c", "", "a", "lima"},
                                         QueryCase{"encoded", "/v1/resolve?name=a%2Eexample&zone=lima%2d1&region=%zz%4", "a.example", "lima-1", "%zz%4"}),
                         [](const auto &info) { return info.param.name; });

TEST(Directory, ReadsRequestsAndWritesAddresses)
{
    EXPECT_EQ(clientOf({"GET", "/v1/resolve?name=a&region=lima&zone=lima-1", {}}).failureDomain, "lima-1");
    EXPECT_EQ(clientOf({"GET", "/v1/resolve", {}}).failureDomain, "");
    EXPECT_TRUE(isAddressRequest({"GET", "/v1/resolve?name=a", {}}));
    EXPECT_FALSE(isAddressRequest({"POST", "/v1/resolve", {}}));
    EXPECT_EQ(encodeAddresses({{"10.1.0.40", 8005}}, 2'000), R"({"addresses":["10.1.0.40:8005"],"ttlS":2})");
    EXPECT_EQ(encodeAddresses({}, 1'500), R"({"addresses":[],"ttlS":1.5})");
}

} // namespace
