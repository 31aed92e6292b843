#include "PageRunner.h"

#include <AK/Text.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace
{

using OperatorPages::compareOutput;
using OperatorPages::Page;
using OperatorPages::readPage;
using OperatorPages::Step;
using OperatorPages::StepKind;

const std::string pageFolder = CATKINLINK_SOURCE "/docs/operators";

std::vector<std::string> pageNames()
{
    std::vector<std::string> names;
    for (const auto &item : std::filesystem::directory_iterator(pageFolder)) {
        if (item.path().extension() == ".md") {
            names.push_back(item.path().filename().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string textOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

class OperatorPageTest : public testing::TestWithParam<std::string>
{
};

// Guards against a page whose commands fail, print something else than the page shows, or are never run.
TEST_P(OperatorPageTest, CommandsDoWhatThePageShows)
{
    const std::string text = textOf(pageFolder + "/" + GetParam());
    EXPECT_EQ(text.find("to be added"), std::string::npos);
    const absl::StatusOr<Page> page = readPage(text);
    ASSERT_TRUE(page.ok()) << page.status();
    if (page->steps.empty()) {
        return;
    }
    const bool configured = page->steps.front().text != "without settings";
    OperatorPages::PageRunner runner;
    const absl::Status prepared = runner.prepare(configured);
    ASSERT_TRUE(prepared.ok()) << prepared;
    for (size_t i = configured ? 0 : 1; i < page->steps.size(); ++i) {
        const Step &step = page->steps[i];
        const std::string problem = runner.run(step);
        ASSERT_EQ(problem, "") << GetParam() << " line " << step.line << ":\n" << step.text << problem;
    }
}

INSTANTIATE_TEST_SUITE_P(Pages, OperatorPageTest, testing::ValuesIn(pageNames()), [](const auto &info) {
    std::string name = info.param.substr(0, info.param.find('.'));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

struct OutputCase {
    const char *name;
    std::vector<std::string> expected;
    const char *actual;
    bool found;
};

// Guards against a comparison that passes for any output.
TEST(OperatorPages, OutputIsCompared)
{
    const std::vector<OutputCase> cases{
        {"same", {"a  b", "c"}, "a b\nc\n", true},
        {"other word", {"a b", "c"}, "a x\nc\n", false},
        {"missing line", {"a", "c"}, "a\n", false},
        {"extra line at the end", {"a"}, "a\nb\n", false},
        {"extra line before", {"b"}, "a\nb\n", false},
        {"extra line within", {"a", "c"}, "a\nb\nc\n", false},
        {"any lines", {"...", "b", "...", "d", "..."}, "a\nb\nc\nd\ne\n", true},
        {"any lines, other order", {"...", "d", "...", "b", "..."}, "a\nb\nc\nd\ne\n", false},
        {"any text", {"at ... by rosa", "x"}, "at 12:00 by rosa\nx\n", true},
        {"any text, other start", {"at ... by rosa"}, "on 12:00 by rosa\n", false},
        {"any text, other end", {"at ... by rosa"}, "at 12:00 by ana\n", false},
        {"any text at the end", {"at ..."}, "at 12:00\n", true},
        {"nothing printed", {"a"}, "", false},
    };
    for (const OutputCase &row : cases) {
        EXPECT_EQ(compareOutput(row.expected, row.actual).empty(), row.found) << row.name;
    }
}

struct PageCase {
    const char *name;
    const char *text;
    bool readable;
    size_t steps;
};

// Guards against a command on a page that the test does not run.
TEST(OperatorPages, EveryBlockHasAKnownTag)
{
    const std::vector<PageCase> cases{
        {"script with output", "```sh run\nx\n```\n```output\ny\n```\n", true, 1},
        {"script with exit code", "```sh run exit=4\nx\n```\n", true, 1},
        {"action", "<!-- site: store down -->\n", true, 1},
        {"block that is not run", "```sh\nx\n```\n", true, 0},
        {"no tag", "```\nx\n```\n", false, 0},
        {"bad exit code", "```sh run exit=x\nx\n```\n", false, 0},
        {"output alone", "```output\ny\n```\n", false, 0},
        {"no end", "```sh run\nx\n", false, 0},
    };
    for (const PageCase &row : cases) {
        const absl::StatusOr<Page> page = readPage(row.text);
        EXPECT_EQ(page.ok(), row.readable) << row.name;
        EXPECT_EQ(page.ok() ? page->steps.size() : 0, row.steps) << row.name;
    }
}

} // namespace
