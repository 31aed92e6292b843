#include <AK/Text.h>
#include <LibJson/BoundedJson.h>
#include <LibJson/RawJson.h>
#include <gtest/gtest.h>

namespace
{

using LibJson::JsonLimits;

std::string repeated(const std::string &text, size_t count)
{
    std::string result;
    for (size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

struct LimitCase {
    const char *name;
    std::string text;
    /// Empty when the text is accepted.
    std::string reason;
};

class JsonLimitsTest : public testing::TestWithParam<LimitCase>
{
};

// Guards against a text that exhausts a stack or the memory of the code that reads its value, and against a bound that counts what stands in strings.
TEST_P(JsonLimitsTest, AreCheckedBeforeParsing)
{
    const JsonLimits limits{1'000, 4, 20};
    const auto parsed = LibJson::parse(GetParam().text, limits);
    ASSERT_EQ(parsed.ok(), GetParam().reason.empty()) << parsed.status();
    if (!parsed.ok()) {
        EXPECT_TRUE(absl::IsInvalidArgument(parsed.status()));
        EXPECT_NE(std::string(parsed.status().message()).find(GetParam().reason), std::string::npos) << parsed.status();
    }
}

INSTANTIATE_TEST_SUITE_P(Table, JsonLimitsTest,
                         testing::Values(LimitCase{"deepest", "[[[[1]]]]", ""}, LimitCase{"too_deep", "[[[[[1]]]]]", "nested too deeply"},
                                         LimitCase{"too_deep_objects", R"({"a":{"a":{"a":{"a":{"a":1}}}}})", "nested too deeply"},
                                         LimitCase{"brackets_in_strings", R"(["[[[[[[{{{{","\"[[[[[["])", ""},
                                         LimitCase{"side_by_side", "[[],[],[],[],[],[]]", ""}, LimitCase{"unbalanced", "]]]]]]]][", "parse_error"},
                                         LimitCase{"most_values", "[" + repeated("1,", 17) + "1]", ""},
                                         LimitCase{"too_many_values", "[" + repeated("1,", 30) + "1]", "too many values"},
                                         LimitCase{"too_many_empty_values", repeated("[],", 30), "too many values"},
                                         LimitCase{"too_long", "\"" + std::string(1'000, 'x') + "\"", "1002 bytes"},
                                         LimitCase{"never_ends", "[[[[", "parse_error"}, LimitCase{"string_never_ends", R"("ab\)", "parse_error"},
                                         LimitCase{"not_utf8", "\"caf\xe9\"", "parse_error"}, LimitCase{"half_a_pair", R"("\udce9")", "parse_error"},
                                         LimitCase{"number_too_large", "1e999", "out_of_range"}, LimitCase{"empty", "", "parse_error"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct SplitCase {
    const char *name;
    std::string text;
    std::optional<std::vector<std::string>> elements;
};

class SplitArrayTest : public testing::TestWithParam<SplitCase>
{
};

// Guards against an element that can't be read and is split wrongly, or that keeps the others from being read.
TEST_P(SplitArrayTest, ReturnsEachElement)
{
    const auto elements = LibJson::splitArray(GetParam().text);
    ASSERT_EQ(elements.has_value(), GetParam().elements.has_value());
    if (elements) {
        EXPECT_EQ(std::vector<std::string>(elements->begin(), elements->end()), *GetParam().elements);
    }
    if (!elements) {
        return;
    }
    const std::string object = AK::concat(R"({"first":1, "list" : )", GetParam().text, R"(,"last":"}"})");
    const auto fields = LibJson::splitObject(object);
    ASSERT_TRUE(fields);
    EXPECT_EQ(LibJson::findField(*fields, "list"), GetParam().text);
    EXPECT_EQ(LibJson::findField(*fields, "last"), R"("}")");
    EXPECT_EQ(LibJson::findField(*fields, "other"), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SplitArrayTest,
    testing::Values(SplitCase{"empty", "[ ]", {{}}}, SplitCase{"one", "[1]", {{"1"}}},
                    SplitCase{"spaces", "[ 1 , {\"a\" : [2, 3]} ]", {{"1", "{\"a\" : [2, 3]}"}}},
                    SplitCase{"quotes", R"(["a\"],","\\",{"]":"["}])", {{R"("a\"],")", R"("\\")", R"({"]":"["})"}}},
                    SplitCase{"not_utf8", "[\"caf\xe9\",\"b\"]", {{"\"caf\xe9\"", "\"b\""}}},
                    SplitCase{"no_values", "[nonsense,1e999]", {{"nonsense", "1e999"}}},
                    SplitCase{"deep", "[" + repeated("[", 50'000) + repeated("]", 50'000) + ",2]", {{repeated("[", 50'000) + repeated("]", 50'000), "2"}}},
                    SplitCase{"missing_comma", "[\"a\" 1]", std::nullopt}, SplitCase{"trailing_comma", "[1,]", std::nullopt},
                    SplitCase{"no_end", "[1,2", std::nullopt}, SplitCase{"open_string", "[\"a]", std::nullopt}),
    [](const auto &info) { return std::string(info.param.name); });

struct TextCase {
    const char *name;
    std::string text;
    std::optional<std::string> decoded;
};

class DecodeTextTest : public testing::TestWithParam<TextCase>
{
};

// Guards against a name that is decoded to another one, and against two names that are decoded to the same one.
TEST_P(DecodeTextTest, KeepsEachByte)
{
    EXPECT_EQ(LibJson::decodeText(GetParam().text), GetParam().decoded);
}

INSTANTIATE_TEST_SUITE_P(Table, DecodeTextTest,
                         testing::Values(TextCase{"plain", R"("i-7f")", "i-7f"}, TextCase{"escapes", R"("a\"\\\/\n\t")", "a\"\\/\n\t"},
                                         TextCase{"two_bytes", R"("\u00e9")", "\xc3\xa9"}, TextCase{"three_bytes", R"("\u20ac")", "\xe2\x82\xac"},
                                         TextCase{"pair", R"("\ud83d\ude00")", "\xf0\x9f\x98\x80"},
                                         TextCase{"byte_as_half_a_pair", R"("caf\udce9")", "caf\xe9"}, TextCase{"byte", "\"caf\xe9\"", "caf\xe9"},
                                         TextCase{"first_half", R"("\ud83dx")", "\xed\xa0\xbdx"}, TextCase{"no_string", "7", std::nullopt},
                                         TextCase{"no_hex", R"("\u00g9")", std::nullopt}, TextCase{"unknown_escape", R"("\x")", std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
