#include <LibJson/BoundedJson.h>
#include <LibJson/ObjectReader.h>
#include <gtest/gtest.h>

namespace
{

using LibJson::ObjectReader;

struct IntegerCase {
    const char *name;
    std::string text;
    std::optional<int> value;
};

class IntegerFieldTest : public testing::TestWithParam<IntegerCase>
{
};

// Guards against a number that is narrowed to another one, and against an error without the path of the field.
TEST_P(IntegerFieldTest, IsNeverNarrowed)
{
    const auto object = LibJson::parse(R"({"n":)" + GetParam().text + "}");
    ASSERT_TRUE(object.ok()) << object.status();
    ObjectReader reader(*object, "record.part");
    const int value = reader.integer<int>("n", -5, INT32_MAX);
    ASSERT_EQ(reader.status().ok(), GetParam().value.has_value()) << reader.status();
    if (GetParam().value) {
        EXPECT_EQ(value, *GetParam().value);
    } else {
        EXPECT_EQ(std::string(reader.status().message()).rfind("record.part.n: ", 0), 0U) << reader.status();
    }
}

INSTANTIATE_TEST_SUITE_P(Table, IntegerFieldTest,
                         testing::Values(IntegerCase{"plain", "7", 7}, IntegerCase{"lowest", "-5", -5}, IntegerCase{"highest", "2147483647", INT32_MAX},
                                         IntegerCase{"fraction_of_zero", "3.0", 3}, IntegerCase{"below", "-6", {}}, IntegerCase{"above", "2147483648", {}},
                                         IntegerCase{"wraps_to_zero", "4294967296", {}}, IntegerCase{"wraps_to_seven", "18446744073709551623", {}},
                                         IntegerCase{"largest_unsigned", "18446744073709551615", {}}, IntegerCase{"lowest_signed", "-9223372036854775808", {}},
                                         IntegerCase{"large_double", "1e300", {}}, IntegerCase{"fraction", "7.5", {}}, IntegerCase{"text", "\"7\"", {}},
                                         IntegerCase{"null", "null", {}}, IntegerCase{"flag", "true", {}}, IntegerCase{"list", "[7]", {}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a field of another type that counts as a missing one.
TEST(ObjectReader, TakesOnlyMissingAndNullForMissing)
{
    const auto object = LibJson::parse(R"({"null":null,"number":1,"text":"t","list":[],"flag":true,"large":1e308})");
    ASSERT_TRUE(object.ok());
    ObjectReader sound(*object, "o");
    EXPECT_EQ(sound.textOr("null", "fallback"), "fallback");
    EXPECT_EQ(sound.numberOr("missing", 2.5, 0, 10), 2.5);
    EXPECT_TRUE(sound.flagOr("flag", false));
    EXPECT_TRUE(sound.arrayOrEmpty("null").empty());
    EXPECT_TRUE(sound.status().ok()) << sound.status();
    using Read = std::function<void(ObjectReader &)>;
    const std::vector<Read> wrong{
        [](ObjectReader &reader) { (void)reader.textOr("number", ""); },
        [](ObjectReader &reader) { (void)reader.numberOr("text", 0, 0, 10); },
        [](ObjectReader &reader) { (void)reader.numberOr("large", 0, 0, 1e12); },
        [](ObjectReader &reader) { (void)reader.flagOr("number", false); },
        [](ObjectReader &reader) { (void)reader.arrayOrEmpty("text"); },
        [](ObjectReader &reader) { (void)reader.object("list"); },
        [](ObjectReader &reader) { (void)reader.text("null"); },
        [](ObjectReader &reader) { (void)reader.integerOr<int>("list", 0, 0, 1); },
    };
    for (size_t i = 0; i < wrong.size(); ++i) {
        ObjectReader reader(*object, "o");
        wrong[i](reader);
        EXPECT_TRUE(absl::IsInvalidArgument(reader.status())) << i;
    }
}

} // namespace
