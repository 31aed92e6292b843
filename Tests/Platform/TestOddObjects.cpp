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

} // namespace
