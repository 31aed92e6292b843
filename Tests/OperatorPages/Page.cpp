#include "Page.h"

#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <sstream>

namespace OperatorPages
{

namespace
{

constexpr std::string_view fence = "```";
constexpr std::string_view actionStart = "<!-- site: ";
constexpr std::string_view actionEnd = " -->";
constexpr std::string_view wildcard = "...";
// Tags of blocks that are not run: commands of the operating system, files and diagrams.
constexpr std::array<std::string_view, 3> tagsNotRun{"sh", "json", "text"};

absl::Status errorAtLine(int line, std::string_view problem)
{
    return absl::InvalidArgumentError(AK::concat("line ", line, ": ", problem));
}

std::string collapseSpaces(std::string_view text)
{
    std::istringstream words{std::string(text)};
    std::string result;
    for (std::string word; words >> word;) {
        result += (result.empty() ? "" : " ") + word;
    }
    return result;
}

bool lineMatches(const std::string &expected, const std::string &actual)
{
    const std::string pattern = collapseSpaces(expected);
    const std::string line = collapseSpaces(actual);
    if (pattern.find(wildcard) == std::string::npos) {
        return line == pattern;
    }
    size_t at = 0;
    size_t from = 0;
    while (true) {
        const size_t end = pattern.find(wildcard, from);
        const std::string part = pattern.substr(from, end == std::string::npos ? end : end - from);
        const size_t found = end == std::string::npos && !part.empty() ? line.rfind(part) : line.find(part, at);
        if (found == std::string::npos || found < at || (from == 0 && found != 0)) {
            return false;
        }
        at = found + part.size();
        if (end == std::string::npos) {
            return part.empty() || at == line.size();
        }
        from = end + wildcard.size();
    }
}

// Index at which a group of adjacent lines starts, at or after `from` (exactly there if anchored); the number of lines when there is none.
size_t findGroup(const std::vector<std::string> &group, const std::vector<std::string> &lines, size_t from, bool anchored)
{
    for (size_t start = from; start + group.size() <= lines.size(); ++start) {
        const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(start);
        if (std::equal(group.begin(), group.end(), begin, lineMatches)) {
            return start;
        }
        if (anchored) {
            break;
        }
    }
    return lines.size();
}

absl::StatusOr<Step> scriptStep(const std::string &tag, int line)
{
    Step step{StepKind::Run, line, "", 0, {}};
    const std::string rest = tag.substr(std::string_view("sh run").size());
    if (rest.empty()) {
        return step;
    }
    const auto code = rest.starts_with(" exit=") ? AK::parseInteger(rest.substr(6)) : std::nullopt;
    if (!code || *code < 0 || *code > 255) {
        return errorAtLine(line, AK::concat("\"", tag, "\" is not a valid script tag; expected \"sh run\" or \"sh run exit=N\" with N from 0 to 255"));
    }
    step.exitCode = static_cast<int>(*code);
    return step;
}

absl::Status addBlock(Page &page, const std::string &tag, const std::vector<std::string> &content, int line)
{
    if (tag == "output") {
        if (page.steps.empty() || page.steps.back().kind != StepKind::Run || !page.steps.back().output.empty()) {
            return errorAtLine(line, "an output block must follow a script that has no output block yet");
        }
        page.steps.back().output = content;
        return absl::OkStatus();
    }
    if (tag.starts_with("sh run")) {
        absl::StatusOr<Step> step = scriptStep(tag, line);
        if (!step.ok()) {
            return step.status();
        }
        for (const std::string &text : content) {
            step->text += text + "\n";
        }
        page.steps.push_back(*std::move(step));
        return absl::OkStatus();
    }
    const bool known = std::find(tagsNotRun.begin(), tagsNotRun.end(), tag) != tagsNotRun.end();
    return known ? absl::OkStatus() : errorAtLine(line, AK::concat("unknown block tag \"", tag, "\""));
}

} // namespace

std::vector<std::string> splitLines(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

absl::StatusOr<Page> readPage(const std::string &markdown)
{
    Page page;
    const std::vector<std::string> lines = splitLines(markdown);
    for (size_t i = 0; i < lines.size(); ++i) {
        const int number = static_cast<int>(i) + 1;
        if (lines[i].starts_with(actionStart) && lines[i].ends_with(actionEnd)) {
            const size_t size = lines[i].size() - actionStart.size() - actionEnd.size();
            page.steps.push_back({StepKind::Site, number, lines[i].substr(actionStart.size(), size), 0, {}});
        }
        if (!lines[i].starts_with(fence)) {
            continue;
        }
        const std::string tag = lines[i].substr(fence.size());
        std::vector<std::string> content;
        for (++i; i < lines.size() && lines[i] != fence; ++i) {
            content.push_back(lines[i]);
        }
        if (i == lines.size()) {
            return errorAtLine(number, "the block is not closed");
        }
        if (const absl::Status added = addBlock(page, tag, content, number); !added.ok()) {
            return added;
        }
    }
    return page;
}

std::string compareOutput(const std::vector<std::string> &expected, const std::string &actual)
{
    const std::vector<std::string> lines = splitLines(actual);
    size_t at = 0;
    bool anchored = true;
    std::vector<std::string> group;
    for (size_t i = 0; i <= expected.size(); ++i) {
        const bool gap = i < expected.size() && collapseSpaces(expected[i]) == wildcard;
        if (i < expected.size() && !gap) {
            group.push_back(expected[i]);
            continue;
        }
        const size_t found = findGroup(group, lines, at, anchored);
        if (!group.empty() && found == lines.size()) {
            return AK::concat("\"", group.front(), "\"", group.size() > 1 ? " and the lines after it" : "", " is not in the output");
        }
        at = group.empty() ? at : found + group.size();
        anchored = !gap;
        group.clear();
    }
    const bool endsWithWildcard = !expected.empty() && collapseSpaces(expected.back()) == wildcard;
    return endsWithWildcard || at == lines.size() ? "" : AK::concat("unexpected line after the expected output: \"", lines[at], "\"");
}

} // namespace OperatorPages
