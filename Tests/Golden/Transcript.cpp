#include "Transcript.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <array>
#include <cstdlib>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace
{

constexpr AK::Milliseconds callTimeoutMs = 20'000;

constexpr std::array recordedHeaders{"content-type", "idempotency-key", "x-catkinlink-outcome", "x-catkinlink-version", "retry-after"};

std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (size_t position = 0; !from.empty() && (position = text.find(from, position)) != std::string::npos; position += to.size()) {
        text.replace(position, from.size(), to);
    }
    return text;
}

// Replaces each distinct match of a pattern by the name and the next number, so that equal values stay recognizable.
std::string numberMatches(const std::string &text, const std::regex &pattern, const std::string &name)
{
    std::map<std::string, std::string> names;
    std::string result;
    auto last = text.begin();
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
        result.append(last, text.begin() + match->position());
        std::string &replacement = names[match->str()];
        if (replacement.empty()) {
            replacement = AK::concat("<", name, "-", names.size(), ">");
        }
        result += replacement;
        last = text.begin() + match->position() + match->length();
    }
    result.append(last, text.end());
    return result;
}

} // namespace

Transcript::Transcript(Harness::Site &site)
    : site(site)
{
}

void Transcript::recordHeaders(const LibHttp::HttpHeaders &headers)
{
    for (const char *name : recordedHeaders) {
        if (const auto found = headers.find(std::string_view(name)); found != headers.end()) {
            this->recorded += AK::concat("  ", name, ": ", found->second, "\n");
        }
    }
}

LibHttp::HttpResponse Transcript::call(const std::string &who, const AK::Endpoint &target, const LibHttp::HttpRequest &request)
{
    this->recorded += AK::concat(who, " > ", request.method, " ", request.path, request.query.empty() ? "" : "?", request.query, "\n");
    this->recordHeaders(request.headers);
    if (!request.body.empty()) {
        this->recorded += AK::concat("  ", request.body, "\n");
    }
    const absl::StatusOr<LibHttp::HttpResponse> response = LibHttp::httpCall(target, request, callTimeoutMs);
    if (!response.ok()) {
        this->recorded += AK::concat(who, " < no complete response\n");
        return {.status = 0};
    }
    this->recorded += AK::concat(who, " < ", response->status, "\n");
    this->recordHeaders(response->headers);
    std::istringstream lines(response->body);
    std::string line;
    while (std::getline(lines, line)) {
        this->recorded += AK::concat("  ", line, "\n");
    }
    return *response;
}

int Transcript::command(const std::vector<std::string> &arguments)
{
    std::string commandLine = "operator $ catkinlink";
    for (const std::string &argument : arguments) {
        commandLine += argument.find(' ') == std::string::npos ? " " + argument : " '" + argument + "'";
    }
    const std::string errors = this->site.folder() + "/session-command.log";
    std::ofstream(errors).close();
    const Harness::CommandResult result = Harness::runCommand(this->site.plan().binFolder + "/catkinlink", arguments, errors);
    std::ifstream errorFile(errors);
    const std::string errorText((std::istreambuf_iterator<char>(errorFile)), std::istreambuf_iterator<char>());
    this->recorded += AK::concat(commandLine, "\n", result.output, errorText, "exit status ", result.status, "\n");
    return result.status;
}

void Transcript::note(const std::string &text)
{
    this->recorded += AK::concat("# ", text, "\n");
}

std::string Transcript::text() const
{
    std::string text = replaceAll(this->recorded, this->site.folder(), "<folder>");
    for (const std::string &name : this->site.daemonNames()) {
        text = replaceAll(text, this->site.httpAddress(name).text(), AK::concat("<", name, "-http>"));
        text = replaceAll(text, this->site.rpcAddress(name).text(), AK::concat("<", name, "-rpc>"));
        text = replaceAll(text, this->site.upstreamAddress(name).text(), AK::concat("<", name, "-upstream>"));
    }
    text = replaceAll(text, this->site.objectApi().text(), "<object-api>");
    text = replaceAll(text, this->site.weightStore().text(), "<weight-store>");
    // The order matters: the patterns of shorter ids would also match digests and fingerprints.
    text = numberMatches(text, std::regex("\\b[0-9a-f]{64}\\b"), "digest");
    text = numberMatches(text, std::regex("\\b[0-9a-z-]+-[0-9]+-[0-9a-f]{16}\\b"), "fingerprint");
    text = numberMatches(text, std::regex("\\b[0-9a-f]{16,32}\\b"), "id");
    // Times are not numbered: whether two of them are equal differs between runs.
    text = std::regex_replace(text, std::regex("\\b1[0-9]{12}\\b"), "<time>");
    text = std::regex_replace(text, std::regex("\\b20[0-9]{2}-[0-9]{2}-[0-9]{2}[ T][0-9:]{8}(\\.[0-9]+)?Z?"), "<date>");
    return text;
}

std::string compareWithGolden(const std::string &name, const std::string &text)
{
    const std::string path = AK::concat(CATKINLINK_GOLDEN, "/", name, ".txt");
    if (std::getenv("CATKINLINK_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
        return "";
    }
    std::ifstream file(path);
    std::istringstream actual(text);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool moreExpected = static_cast<bool>(std::getline(file, expectedLine));
        const bool moreActual = static_cast<bool>(std::getline(actual, actualLine));
        if (!moreExpected && !moreActual) {
            return "";
        }
        if (moreExpected != moreActual || expectedLine != actualLine) {
            return AK::concat(path, ":", number, ": expected \"", moreExpected ? expectedLine : "<end>", "\", got \"", moreActual ? actualLine : "<end>", "\"");
        }
    }
}
