#include "StoreReader.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

std::string repeated(const std::string &text, size_t count)
{
    std::string result;
    for (size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string nestedLists(size_t depth)
{
    return repeated("[", depth) + repeated("]", depth);
}

std::string nestedObjects(size_t depth)
{
    return repeated(R"({"a":)", depth) + "1" + repeated("}", depth);
}

struct OddEntryCase {
    const char *name;
    /// Added to the fields of a registration that is sound without them.
    std::string fields;
};

class OddEntryTest : public testing::TestWithParam<OddEntryCase>
{
};

// Guards against one registration of another writer that ends the processes which read it, or that hides other registrations and their later changes.
TEST_P(OddEntryTest, EndsNoReaderAndHidesNoOther)
{
    StoreReader reader;
    const std::string odd = registration("ready", GetParam().fields);
    reader.store.put("servers", R"("i-sound")", registration("ready"));
    reader.store.put("servers", R"("i-odd")", odd);
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-sound"); }));
    EXPECT_FALSE(reader.hasUpstream("i-odd"));
    reader.store.put("servers", R"("i-sound")", registration("draining"));
    ASSERT_TRUE(reader.waitFor([&] { return reader.state.upstreams().at("i-sound").state == LibFleet::UpstreamState::Draining; }));
    reader.store.put("servers", R"("i-odd-later")", odd);
    reader.store.put("servers", R"("i-new")", registration("ready"));
    ASSERT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-new"); }));
    EXPECT_FALSE(reader.hasUpstream("i-odd-later"));
    reader.store.remove("servers", R"("i-sound")");
    EXPECT_TRUE(reader.waitFor([&] { return !reader.hasUpstream("i-sound"); }));
    EXPECT_FALSE(reader.feeds.storeLost());
}

INSTANTIATE_TEST_SUITE_P(Table, OddEntryTest,
                         testing::Values(OddEntryCase{"nested_lists", AK::concat(R"(,"version":)", nestedLists(4'000))},
                                         OddEntryCase{"nested_objects", AK::concat(R"(,"more":)", nestedObjects(20'000))},
                                         OddEntryCase{"nested_without_end", R"(,"more":)" + nestedLists(400'000)},
                                         OddEntryCase{"too_many_values", R"(,"more":[)" + repeated("0,", 100'000) + "0]"},
                                         OddEntryCase{"too_large_for_a_double", R"(,"more":1e999)"},
                                         OddEntryCase{"slots_beyond_32_bits", R"(,"slots":4294967312)"}, OddEntryCase{"slots_negative", R"(,"slots":-1)"},
                                         OddEntryCase{"slots_fraction", R"(,"slots":1.5)"}, OddEntryCase{"cold_for_ages", R"(,"coldLeftMs":9007199254740991)"},
                                         OddEntryCase{"cold_negative", R"(,"coldLeftMs":-1)"}, OddEntryCase{"sequence_negative", R"(,"seq":-1)"},
                                         OddEntryCase{"start_as_text", R"(,"born":"1780000000000")"}, OddEntryCase{"start_fraction", R"(,"born":1.5)"},
                                         OddEntryCase{"models_as_text", R"(,"models":"m")"},
                                         OddEntryCase{"layers_beyond_64_bits", R"(,"models":[{"version":1}],"layers":{"from":0,"to":1e18,"version":1})"},
                                         OddEntryCase{"port_out_of_range", R"(,"addr":"10.1.0.2:70000")"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct MissingFieldCase {
    const char *name;
    std::string spec;
};

class MissingFieldTest : public testing::TestWithParam<MissingFieldCase>
{
};

// Guards against an entry of another writer that lacks a field and is taken for an upstream: its server's answers would pass for those of an upstream.
TEST_P(MissingFieldTest, NamesNoUpstream)
{
    StoreReader reader;
    reader.store.put("servers", R"("i-odd")", GetParam().spec);
    reader.store.put("servers", R"("i-sound")", registration("ready"));
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-sound"); }));
    EXPECT_FALSE(reader.hasUpstream("i-odd"));
}

// A sound registration without one of its fields, or with another value in its place.
MissingFieldCase changed(const char *name, const std::string &field, const std::string &value = "")
{
    nlohmann::json spec = nlohmann::json::parse(registration("ready"));
    if (value.empty()) {
        spec.erase(field);
    } else {
        spec[field] = nlohmann::json::parse(value);
    }
    return {name, spec.dump()};
}

INSTANTIATE_TEST_SUITE_P(Table, MissingFieldTest,
                         testing::Values(changed("service", "service"), changed("address", "addr"), changed("zone", "zone"), changed("version", "version"),
                                         changed("slots", "slots"), changed("state", "state"), changed("cold_time", "coldLeftMs"), changed("sequence", "seq"),
                                         changed("version_null", "version", "null"), changed("version_number", "version", "1"),
                                         changed("cold_time_text", "coldLeftMs", R"("0")"), changed("cold_time_null", "coldLeftMs", "null"),
                                         changed("sequence_text", "seq", R"("3")"), changed("sequence_fraction", "seq", "1.5"),
                                         changed("port_zero", "addr", R"("10.1.0.2:0")"), changed("port_too_high", "addr", R"("10.1.0.2:65536")"),
                                         changed("port_missing", "addr", R"("10.1.0.2")"), changed("address_list", "addr", R"(["10.1.0.2:80"])"),
                                         changed("zone_number", "zone", "3")),
                         [](const auto &info) { return std::string(info.param.name); });

struct UnreadableCase {
    const char *name;
    /// Text of the name and of the spec, as the store writes them.
    std::string objectName;
    std::string spec;
};

class UnreadableObjectTest : public testing::TestWithParam<UnreadableCase>
{
};

// Guards against one object that can't be read and hides the others and all later changes: a draining upstream would keep getting calls.
TEST_P(UnreadableObjectTest, HidesNoOtherAndNoLaterChange)
{
    StoreReader reader;
    reader.store.pageSize = 1;
    for (const char *name : {R"("i-1")", R"("i-3")", R"("z")"}) {
        reader.store.put("servers", name, registration("ready"));
    }
    reader.store.put("servers", GetParam().objectName, GetParam().spec);
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.state.upstreams().size() == 3; }));
    reader.store.put("servers", R"("i-1")", registration("draining"));
    reader.store.put("servers", GetParam().objectName, GetParam().spec);
    ASSERT_TRUE(reader.waitFor([&] { return reader.state.upstreams().at("i-1").state == LibFleet::UpstreamState::Draining; }));
    reader.store.remove("servers", R"("z")");
    ASSERT_TRUE(reader.waitFor([&] { return !reader.hasUpstream("z"); }));
    EXPECT_EQ(reader.state.upstreams().size(), 2U);
    EXPECT_FALSE(reader.feeds.storeLost());
    const std::string counted = R"(catkinlink_unreadable_objects_total{kind="upstreams"} 1)";
    EXPECT_NE(reader.metrics.text().find(counted), std::string::npos) << "counted once, not at each read: " << reader.metrics.text();
    reader.store.remove("servers", GetParam().objectName);
    EXPECT_TRUE(reader.waitFor([&] { return reader.metrics.text().find(R"(catkinlink_unreadable_objects{kind="upstreams"} 0)") != std::string::npos; }));
}

INSTANTIATE_TEST_SUITE_P(Table, UnreadableObjectTest,
                         testing::Values(UnreadableCase{"byte", R"("i-2")", registration("ready", ",\"more\":\"caf\xe9\"")},
                                         UnreadableCase{"byte_as_half_a_pair", R"("i-2")", registration("ready", R"(,"more":"caf\udce9")")},
                                         UnreadableCase{"byte_in_a_name_of_a_field", R"("i-2")", registration("ready", ",\"\xff\xfe\":1")},
                                         UnreadableCase{"control_character", R"("i-2")", registration("ready", ",\"more\":\"\x01\"")},
                                         UnreadableCase{"no_value", R"("i-2")", registration("ready", R"(,"more":nonsense)")},
                                         UnreadableCase{"byte_in_the_name", "\"i-2\xe9\"", registration("ready")},
                                         UnreadableCase{"half_a_pair_in_the_name", R"("i-2\udce9")", registration("ready")},
                                         UnreadableCase{"line_break_in_the_name", R"("i-2\r\nX-Injected: 1")", registration("ready")},
                                         UnreadableCase{"spec_missing", R"("i-2")", "null"}, UnreadableCase{"spec_of_another_type", R"("i-2")", "[7]"},
                                         UnreadableCase{"unknown_state", R"("i-2")", registration("odd")}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an upstream that stays in use after its registration has become one that can't be read.
TEST(UnreadableObject, NamesNoUpstreamAnyMore)
{
    StoreReader reader;
    reader.store.put("servers", R"("i-1")", registration("ready"));
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-1"); }));
    reader.store.put("servers", R"("i-1")", registration("ready", ",\"more\":\"\xe9\""));
    EXPECT_TRUE(reader.waitFor([&] { return !reader.hasUpstream("i-1"); }));
    reader.store.put("servers", R"("i-1")", registration("draining"));
    EXPECT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-1"); }));
}

// Guards against an item or event without a name that hides the others.
TEST(UnreadableObject, MayHaveNoName)
{
    StoreReader reader;
    for (const char *text : {"7", "{}", R"({"object":7,"deleted":false})", R"({"metadata":{"name":7}})", R"({"object":{"metadata":null}})"}) {
        reader.store.putRaw("servers", text);
    }
    reader.store.put("servers", R"("i-1")", registration("ready"));
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.hasUpstream("i-1"); }));
    reader.store.putRaw("servers", "[]");
    reader.store.put("servers", R"("i-1")", registration("draining"));
    EXPECT_TRUE(reader.waitFor([&] { return reader.state.upstreams().at("i-1").state == LibFleet::UpstreamState::Draining; }));
}

std::string configuration(int version, const std::string &more = "")
{
    return AK::concat(R"({"version":)", version, R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"safe","service":"s"}],)",
                      R"("services":[{"name":"s"}],"limits":{"idleTimeoutMs":9000})", more, "}");
}

struct OddConfigurationCase {
    const char *name;
    std::string spec;
};

class OddConfigurationTest : public testing::TestWithParam<OddConfigurationCase>
{
};

// Guards against a configuration that can't be read and replaces the one in force, or that hides the next one.
TEST_P(OddConfigurationTest, ChangesNothingAndHidesNoLaterOne)
{
    StoreReader reader;
    reader.store.put("config", R"("main")", GetParam().spec);
    reader.start();
    ASSERT_TRUE(reader.waitFor([&] { return reader.feeds.position(LibFleet::ObjectKind::Configuration) > 0; }));
    EXPECT_EQ(reader.state.configuration(), nullptr);
    reader.store.put("config", R"("main")", configuration(1));
    ASSERT_TRUE(reader.waitFor([&] { return reader.state.configuration() && reader.state.configuration()->version == 1; }));
    const LibFleet::StorePosition before = reader.feeds.position(LibFleet::ObjectKind::Configuration);
    reader.store.put("config", R"("main")", GetParam().spec);
    ASSERT_TRUE(reader.waitFor([&] { return reader.feeds.position(LibFleet::ObjectKind::Configuration) > before; }));
    EXPECT_EQ(reader.state.configuration()->version, 1);
    EXPECT_NE(reader.state.routes()->find("h", "/p/1"), nullptr);
    reader.store.put("config", R"("main")", configuration(2));
    EXPECT_TRUE(reader.waitFor([&] { return reader.state.configuration()->version == 2; }));
}

INSTANTIATE_TEST_SUITE_P(
    Table, OddConfigurationTest,
    testing::Values(OddConfigurationCase{"missing", "null"}, OddConfigurationCase{"list", "[]"}, OddConfigurationCase{"text", R"("version")"},
                    OddConfigurationCase{"deep", configuration(9, R"(,"more":)" + nestedLists(4'000))},
                    OddConfigurationCase{"number_too_large", configuration(9, R"(,"more":1e999)")},
                    OddConfigurationCase{"byte", configuration(9, ",\"more\":\"caf\xe9\"")},
                    OddConfigurationCase{"half_a_pair", configuration(9, R"(,"more":"caf\udce9")")},
                    OddConfigurationCase{"no_version", R"({"routes":[],"services":[],"limits":{}})"},
                    OddConfigurationCase{"version_text", R"({"version":"9","routes":[],"services":[],"limits":{}})"},
                    OddConfigurationCase{"no_routes", R"({"version":9,"services":[],"limits":{}})"},
                    OddConfigurationCase{"no_services", R"({"version":9,"routes":[],"limits":{}})"},
                    OddConfigurationCase{"no_limits", R"({"version":9,"routes":[],"services":[]})"},
                    OddConfigurationCase{"routes_text", R"({"version":9,"routes":"none","services":[],"limits":{}})"},
                    OddConfigurationCase{"route_without_host", configuration(9, R"(,"routes":[{"pathPrefix":"/p/","kind":"safe"}])")},
                    OddConfigurationCase{"timeout_text", configuration(9, R"(,"routes":[{"host":"h","pathPrefix":"/","kind":"safe","timeoutMs":"9"}])")},
                    OddConfigurationCase{"attempts_beyond_32_bits",
                                         configuration(9, R"(,"routes":[{"host":"h","pathPrefix":"/","kind":"safe","maxAttempts":4294967296}])")},
                    OddConfigurationCase{
                        "weight_negative",
                        configuration(9, R"(,"routes":[{"host":"h","pathPrefix":"/","kind":"safe","trafficSplit":[{"service":"s","weight":-1}]}])")},
                    OddConfigurationCase{"head_limit_negative", configuration(9, R"(,"limits":{"maxHeaderBytes":-1})")},
                    OddConfigurationCase{"tenants_text", configuration(9, R"(,"tenants":"all")")},
                    OddConfigurationCase{"tenant_with_a_line_break", configuration(9, R"(,"tenants":[{"name":"a\r\nX-Other: 1","apiKeys":["k"]}])")}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
