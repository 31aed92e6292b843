#include "CommandLine.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace Catkinlink
{

namespace
{

constexpr const char *versionText = "catkinlink 0.1.0\n";

// Emergency restrictions expire after at most 2 h.
constexpr AK::Milliseconds restrictionLimitMs = 7'200'000;

struct FlagSpec {
    const char *name;
    /// Empty for a switch.
    const char *value;
    const char *description;
};

const std::vector<FlagSpec> &flagSpecs()
{
    static const std::vector<FlagSpec> specs{
        {"entry", "IP:PORT", "HTTP address of an entry; may be repeated, tried in order"},
        {"key-file", "FILE", "file that holds the operator's key (for call and address: the account's key)"},
        {"json", "", "print JSON"},
        {"reason", "TEXT", "reason of the change, kept in the audit trail"},
        {"base", "FILE", "base settings file of the site"},
        {"overlay", "FILE", "overlay of the site, merged into the base"},
        {"against", "FILE", "compare with this document (diff: instead of the revision in force)"},
        {"expected-revision", "NUMBER", "apply only if this revision is in force (default: the revision read first)"},
        {"force", "", "go on even if this takes out the last upstream of a service or drops a version that hosts still serve"},
        {"wait", "SECONDS", "wait until the revision is in force on every live member (default: 8, 0 does not wait); rollout status: longest time to watch"},
        {"emergency", "", "if the store is unreachable, post a provisional restriction"},
        {"ttl", "SECONDS", "lifetime of an emergency restriction (default and limit: 7200)"},
        {"model", "NAME", "model (default: as the present target)"},
        {"adapter", "NAME", "adapter (default: as the present target)"},
        {"weights-version", "VERSION", "version of the weights"},
        {"root", "SHA256", "root of the weights manifest"},
        {"weight-store", "IP:PORT", "read the root from this weight store's manifest"},
        {"watch", "", "print again every second until every live host serves the target, the rollout has stopped, or --wait is over"},
        {"method", "METHOD", "HTTP method (default: POST with a body or prompt, otherwise GET)"},
        {"path", "PATH", "path below the service"},
        {"body", "FILE", "file that holds the request body"},
        {"prompt", "TEXT", "prompt of a completion"},
        {"idempotency-key", "KEY", "key of a call that may not be repeated"},
        {"state", "STATE", "claimed or unknown (default: both)"},
    };
    return specs;
}

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> result;
    for (std::string word; stream >> word;) {
        result.push_back(word);
    }
    return result;
}

std::string generalHelp()
{
    std::string text = "usage: catkinlink COMMAND [flags]\n\n";
    for (const CommandSpec &spec : commandSpecs()) {
        std::string name = spec.name;
        name.resize(std::max<size_t>(name.size() + 1, 18), ' ');
        text += AK::concat("  ", name, spec.summary, "\n");
    }
    return text
        + "\nFlags of a command: catkinlink COMMAND --help\n"
          "Exit codes: 0 done, 1 failed, 2 usage, 3 invalid settings, 4 refused, 5 not accepted, 6 outcome unknown\n";
}

std::string commandHelp(const CommandSpec &spec)
{
    const std::string operand = spec.operand;
    std::string text = AK::concat("usage: catkinlink ", spec.name, operand.empty() ? "" : " ", operand, " [flags]\n", spec.summary, "\n\n");
    for (std::string name : splitWords(spec.flags)) {
        const bool required = name.front() == '!';
        name.erase(0, required ? 1 : 0);
        for (const FlagSpec &flag : flagSpecs()) {
            if (name == flag.name) {
                std::string left = AK::concat("--", name, *flag.value == '\0' ? "" : " ", flag.value);
                left.resize(std::max<size_t>(left.size() + 1, 30), ' ');
                text += AK::concat("  ", left, flag.description, required ? " (required)" : "", "\n");
            }
        }
    }
    return text + "  --help                        print this text\n  --version                     print the version\n";
}

// The spec with the longest name that the arguments begin with, so that "audit verify" is not taken for "audit".
const CommandSpec *findCommand(const std::vector<std::string> &arguments)
{
    const CommandSpec *best = nullptr;
    size_t bestSize = 0;
    for (const CommandSpec &spec : commandSpecs()) {
        const std::vector<std::string> parts = splitWords(spec.name);
        if (parts.size() > bestSize && parts.size() <= arguments.size() && std::equal(parts.begin(), parts.end(), arguments.begin())) {
            best = &spec;
            bestSize = parts.size();
        }
    }
    return best;
}

/// The TCLAP parser of one subcommand.
class FlagParser
{
public:
    explicit FlagParser(const CommandSpec &spec)
        : line(spec.summary, ' ', "0.1.0", false)
    {
        this->line.setExceptionHandling(false);
        for (std::string name : splitWords(spec.flags)) {
            const bool required = name.front() == '!';
            name.erase(0, required ? 1 : 0);
            const auto flag = std::find_if(flagSpecs().begin(), flagSpecs().end(), [&](const FlagSpec &candidate) { return name == candidate.name; });
            if (*flag->value == '\0') {
                this->switches[name] = std::make_unique<TCLAP::SwitchArg>("", name, flag->description, this->line);
            } else {
                this->values[name] = std::make_unique<TCLAP::MultiArg<std::string>>("", name, flag->description, required, flag->value, this->line);
            }
        }
        if (*spec.operand != '\0') {
            this->operand = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>("operand", "name", true, "", spec.operand, this->line);
        }
        if (std::string_view(spec.operand).ends_with("...")) {
            this->files = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("files", "files", true, "FILE", this->line);
        }
    }

    void parse(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "catkinlink");
        this->line.parse(arguments);
    }

    bool has(const std::string &name) const
    {
        const auto found = this->switches.find(name);
        return found != this->switches.end() && found->second->getValue();
    }

    std::vector<std::string> all(const std::string &name) const
    {
        const auto found = this->values.find(name);
        return found == this->values.end() ? std::vector<std::string>() : found->second->getValue();
    }

    std::string last(const std::string &name) const
    {
        const std::vector<std::string> given = this->all(name);
        return given.empty() ? std::string() : given.back();
    }

    std::string operandText() const
    {
        return this->operand ? this->operand->getValue() : std::string();
    }

    std::vector<std::string> fileNames() const
    {
        return this->files ? this->files->getValue() : std::vector<std::string>();
    }

private:
    TCLAP::CmdLine line;
    std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> switches;
    std::map<std::string, std::unique_ptr<TCLAP::MultiArg<std::string>>> values;
    std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>> operand;
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> files;
};

absl::Status usageError(const std::string &command, const std::string &problem)
{
    return absl::OutOfRangeError(AK::concat(problem, "\nnext: catkinlink ", command, command.empty() ? "" : " ", "--help"));
}

absl::Status readNumber(const FlagParser &parser, const std::string &name, int64_t limit, std::optional<int64_t> &result)
{
    const std::string text = parser.last(name);
    if (text.empty()) {
        return absl::OkStatus();
    }
    const std::optional<int64_t> number = AK::parseInteger(text);
    if (!number || *number < 0 || *number > limit) {
        return absl::OutOfRangeError(AK::concat("--", name, ": \"", text, "\" is not a number from 0 to ", limit));
    }
    result = number;
    return absl::OkStatus();
}

absl::Status readTextFlags(const FlagParser &parser, CommandOptions &options)
{
    for (const std::string &text : parser.all("entry")) {
        const absl::StatusOr<AK::Endpoint> endpoint = AK::parseEndpoint(text);
        if (!endpoint.ok()) {
            return absl::OutOfRangeError(AK::concat("--entry: ", endpoint.status().message()));
        }
        options.entries.push_back(*endpoint);
    }
    if (const std::string text = parser.last("weight-store"); !text.empty()) {
        const absl::StatusOr<AK::Endpoint> endpoint = AK::parseEndpoint(text);
        if (!endpoint.ok()) {
            return absl::OutOfRangeError(AK::concat("--weight-store: ", endpoint.status().message()));
        }
        options.weightStore = *endpoint;
    }
    options.keyFile = parser.last("key-file");
    options.reason = parser.last("reason");
    options.base = parser.last("base");
    options.overlay = parser.last("overlay");
    options.against = parser.last("against");
    options.model = parser.last("model");
    options.adapter = parser.last("adapter");
    options.weightsVersion = parser.last("weights-version");
    options.root = parser.last("root");
    options.method = parser.last("method");
    options.path = parser.last("path");
    options.body = parser.last("body");
    options.prompt = parser.last("prompt");
    options.idempotencyKey = parser.last("idempotency-key");
    options.claimState = parser.last("state");
    if (!options.claimState.empty() && options.claimState != "claimed" && options.claimState != "unknown") {
        return absl::OutOfRangeError(AK::concat("--state: \"", options.claimState, "\" is neither claimed nor unknown"));
    }
    return absl::OkStatus();
}

absl::Status readOptions(const FlagParser &parser, CommandOptions &options)
{
    CATKINLINK_TRY(readTextFlags(parser, options));
    options.operand = parser.operandText();
    options.files = parser.fileNames();
    options.json = parser.has("json");
    options.force = parser.has("force");
    options.emergency = parser.has("emergency");
    options.watch = parser.has("watch");
    std::optional<int64_t> expected;
    std::optional<int64_t> wait;
    std::optional<int64_t> lifetime;
    CATKINLINK_TRY(readNumber(parser, "expected-revision", INT64_MAX, expected));
    CATKINLINK_TRY(readNumber(parser, "wait", 3'600, wait));
    CATKINLINK_TRY(readNumber(parser, "ttl", restrictionLimitMs / 1'000, lifetime));
    if (expected) {
        options.expectedRevision = static_cast<uint64_t>(*expected);
    }
    if (wait) {
        options.waitMs = *wait * 1'000;
    }
    options.lifetimeMs = lifetime ? *lifetime * 1'000 : options.lifetimeMs;
    return absl::OkStatus();
}

// Splits "--flag=value" into two arguments, for known flags only.
std::vector<std::string> splitAssignments(const std::vector<std::string> &arguments, size_t first)
{
    std::vector<std::string> result;
    for (size_t i = first; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        const size_t equals = argument.find('=');
        const bool assignment = argument.starts_with("--") && equals != std::string::npos
            && std::any_of(flagSpecs().begin(), flagSpecs().end(), [&](const FlagSpec &flag) { return argument.substr(2, equals - 2) == flag.name; });
        if (assignment) {
            result.push_back(argument.substr(0, equals));
            result.push_back(argument.substr(equals + 1));
        } else {
            result.push_back(argument);
        }
    }
    return result;
}

} // namespace

const std::vector<CommandSpec> &commandSpecs()
{
    static const std::vector<CommandSpec> specs{
        {"validate", "check settings files without a connection", "", "!base overlay json"},
        {"config check", "find errors, parts without effect and contradictory limits in a settings file", "FILE", "overlay against json"},
        {"diff", "compare settings files with the revision in force", "", "!base overlay against entry key-file json"},
        {"apply", "put settings files in force", "", "!base overlay !entry !key-file !reason expected-revision force wait json"},
        {"status", "show members and restrictions", "", "!entry !key-file json"},
        {"domain out", "take a failure domain out of service", "NAME", "!entry !key-file !reason force emergency ttl wait json"},
        {"domain in", "return a failure domain to service", "NAME", "!entry !key-file !reason wait json"},
        {"upstream out", "take an upstream out of service", "NAME", "!entry !key-file !reason force emergency ttl wait json"},
        {"upstream in", "return an upstream to service", "NAME", "!entry !key-file !reason wait json"},
        {"rollout start", "start serving another version", "SERVICE",
         "!entry !key-file !reason model adapter !weights-version root weight-store force wait json"},
        {"rollout status", "show which hosts serve the target", "SERVICE", "!entry !key-file watch wait json"},
        {"rollout pause", "stop later waves", "SERVICE", "!entry !key-file !reason wait json"},
        {"rollout resume", "let later waves go on", "SERVICE", "!entry !key-file !reason wait json"},
        {"rollout rollback", "return to the previous version", "SERVICE", "!entry !key-file !reason wait json"},
        {"rollout explain", "show from the logs when each agent on the platform reached each step", "VERSION LOG...", "json"},
        {"audit", "show the audit trail", "", "!entry !key-file json"},
        {"audit verify", "check the hash chain of the audit trail", "", "!entry !key-file json"},
        {"claims", "show calls whose outcome is not known", "", "!entry !key-file state json"},
        {"address", "show which entries callers may use", "", "!entry key-file json"},
        {"explain", "name the cause of a request's end from the logs of the processes", "REQUEST-ID LOG...", "json"},
        {"call", "send one call as a client account", "SERVICE", "!entry !key-file method path body prompt idempotency-key json"},
    };
    return specs;
}

absl::StatusOr<CommandOptions> parseCommandLine(const std::vector<std::string> &arguments)
{
    CommandOptions options;
    const auto contains = [&](const char *flag) {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    };
    const CommandSpec *spec = findCommand(arguments);
    if (contains("--version")) {
        options.information = versionText;
        return options;
    }
    if (contains("--help") || contains("-h") || (arguments.size() == 1 && arguments[0] == "help")) {
        options.information = spec == nullptr ? generalHelp() : commandHelp(*spec);
        return options;
    }
    if (spec == nullptr) {
        return usageError("", arguments.empty() ? "no command is given" : AK::concat("unknown command \"", arguments[0], "\""));
    }
    options.command = spec->name;
    FlagParser parser(*spec);
    try {
        parser.parse(splitAssignments(arguments, splitWords(spec->name).size()));
    } catch (const TCLAP::ArgException &exception) {
        return usageError(spec->name, AK::concat(exception.error(), " ", exception.argId()));
    }
    if (const absl::Status status = readOptions(parser, options); !status.ok()) {
        return usageError(spec->name, std::string(status.message()));
    }
    return options;
}

} // namespace Catkinlink
