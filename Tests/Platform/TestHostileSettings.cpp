#include "SettingsText.h"
#include <AK/Text.h>
#include <LibFiber/Loop.h>
#include <gtest/gtest.h>
#include <platform/NodeSettings.h>

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

std::string nestedBlocks(size_t depth)
{
    std::string text = "more:\n";
    for (size_t i = 1; i <= depth; ++i) {
        text += std::string(i, ' ') + "a:\n";
    }
    return text + std::string(depth + 1, ' ') + "b: 1\n";
}

struct HostileSettingsCase {
    const char *name;
    /// Takes the place of a number in a sound settings file.
    std::string number;
    /// Added to it.
    std::string more;
    bool accepted;
};

class HostileSettingsTest : public testing::TestWithParam<HostileSettingsCase>
{
};

// Guards against a settings file that ends the process which reads it again, on the stack of a fiber, and against a number that stands for no duration.
TEST_P(HostileSettingsTest, IsReadOnAFiber)
{
    LibFiber::Loop loop;
    absl::Status status = absl::UnknownError("not parsed");
    std::string text = AK::concat(validSettings, GetParam().more, "\n");
    text.replace(text.find("graceS: 8") + 8, 1, GetParam().number);
    loop.fiber([&](kj::WaitScope &) { status = Platform::parseNodeSettings(text).status(); }).wait(loop.rootScope());
    EXPECT_EQ(status.ok(), GetParam().accepted) << status;
    EXPECT_TRUE(status.ok() || absl::IsInvalidArgument(status)) << status;
}

INSTANTIATE_TEST_SUITE_P(Table, HostileSettingsTest,
                         testing::Values(HostileSettingsCase{"lists", "8", "more: " + repeated("[", 490) + repeated("]", 490), true},
                                         HostileSettingsCase{"very_deep_lists", "8", "more: " + repeated("[", 200'000), false},
                                         HostileSettingsCase{"maps", "8", "more: " + repeated("{a: ", 490) + "1" + repeated("}", 490), true},
                                         HostileSettingsCase{"blocks", "8", nestedBlocks(490), true},
                                         HostileSettingsCase{"dashes", "8", "more:\n  " + repeated("- ", 490) + "1", true},
                                         HostileSettingsCase{"not_a_number", ".nan", "", false}, HostileSettingsCase{"infinite", ".inf", "", false},
                                         HostileSettingsCase{"too_large", "1e300", "", false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct ContractCase {
    const char *name;
    std::string line;
    bool callersCompete;
};

class ContractTest : public testing::TestWithParam<ContractCase>
{
};

// Guards against a deployment that is served by the rules for competing callers without having asked for them, and against settings refused for a contract
// that this build does not know.
TEST_P(ContractTest, DecidesWhetherCallersCompete)
{
    const auto settings = Platform::parseNodeSettings(AK::concat(validSettings, GetParam().line, "\n"));
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->callersCompete, GetParam().callersCompete);
}

INSTANTIATE_TEST_SUITE_P(Table, ContractTest,
                         testing::Values(ContractCase{"none", "", false}, ContractCase{"pressure", "contracts: [pressure]", true},
                                         ContractCase{"among_unknown_ones", "contracts: [other, {a: 1}, pressure]", true},
                                         ContractCase{"unknown_only", "contracts: [other]", false}, ContractCase{"no_list", "contracts: pressure", false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
