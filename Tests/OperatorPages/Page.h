#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace OperatorPages
{

enum class StepKind {
    /// A block ```sh run: a shell script. `exit=N` after the tag gives the expected exit code; the default is 0.
    Run,
    /// A comment <!-- site: ACTION --> : an action on the site outside the shell.
    Site,
};

/// One step of a page; steps run in the order of the page.
struct Step {
    StepKind kind = StepKind::Run;
    /// Line of the page, from 1.
    int line = 0;
    /// The script or the action.
    std::string text;
    int exitCode = 0;
    /// Lines of the block ```output after a script, for compareOutput(). Empty when the page shows no output.
    std::vector<std::string> output;
};

struct Page {
    std::vector<Step> steps;
};

/// Parses a page. Errors: kInvalidArgument with the line number for a fenced block with an unknown tag (so that no command is skipped by mistake), an output
/// block without a script before it, and a block that is not closed.
absl::StatusOr<Page> readPage(const std::string &markdown);

/// Checks that the output consists of the expected lines. `...` alone on a line matches any number of lines, `...` within a line any text; runs of
/// spaces count as one space. Lines without `...` between them must be adjacent. Returns an empty text, or a message about the first difference.
std::string compareOutput(const std::vector<std::string> &expected, const std::string &actual);

/// Splits a text into lines without their line breaks.
std::vector<std::string> splitLines(std::string_view text);

} // namespace OperatorPages
