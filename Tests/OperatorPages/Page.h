#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace OperatorPages
{

enum class StepKind {
    /// A block ```sh run: a script for the shell. `exit=N` after the tag is the expected exit code, otherwise 0.
    Run,
    /// A comment <!-- site: ACTION --> : what happens to the site outside the shell.
    Site,
};

/// One thing that a page makes happen, in the order of the page.
struct Step {
    StepKind kind = StepKind::Run;
    /// Line of the page, from 1.
    int line = 0;
    std::string text;
    int exitCode = 0;
    /// The block ```output after a script: its fixed parts must appear. Empty when the page shows none.
    std::vector<std::string> output;
};

struct Page {
    std::vector<Step> steps;
};

/// Reads a page. Errors: kInvalidArgument with the line, for a fenced block whose tag is not known (so that no command escapes the test), an output without a
/// script before it and a block that does not end.
absl::StatusOr<Page> readPage(const std::string &markdown);

/// Checks that the expected lines appear in this order. `...` alone on a line stands for any number of lines, `...` within a line for any text; runs of spaces
/// count as one. Lines without `...` between them must be adjacent. An empty text, or what is missing.
std::string findOutput(const std::vector<std::string> &expected, const std::string &actual);

/// Lines without their line ends.
std::vector<std::string> splitLines(std::string_view text);

} // namespace OperatorPages
