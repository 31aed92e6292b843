#include "Explain.h"

#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <fstream>
#include <functional>
#include <set>

namespace Catkinlink
{

namespace
{

// How long before the end of a request something may have happened that explains it: a drain with its grace, or the time of a version of weights.
constexpr AK::Milliseconds before = 10'000;
// A lost upstream is noticed up to this long after the calls that it took along.
constexpr AK::Milliseconds after = 3'000;
// Calls that ended within this time of each other met the same state.
constexpr AK::Milliseconds sameMoment = 1'000;

std::string field(const LogLine &line, const char *name)
{
    const auto found = line.fields.find(name);
    if (found == line.fields.end()) {
        return "";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

int64_t number(const LogLine &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() && found->is_number() ? found->get<int64_t>() : 0;
}

/// The logs around the end of one request.
struct Evidence {
    const std::vector<LogLine> &lines;
    const LogLine &end;
    /// Lines that the cause refers to.
    std::vector<const LogLine *> used;

    using Condition = std::function<bool(const LogLine &)>;

    /// The last line that meets a condition; what a process believed at the end it had logged by then, what befell an upstream may be noticed later.
    const LogLine *last(const Condition &condition, AK::Milliseconds until)
    {
        const LogLine *found = nullptr;
        for (const LogLine &line : this->lines) {
            const bool inTime = line.time >= this->end.time - before && line.time <= this->end.time + until;
            found = inTime && &line != &this->end && condition(line) ? &line : found;
        }
        if (found != nullptr) {
            this->used.push_back(found);
        }
        return found;
    }

    /// The last line of the entry with one of some events, until the end of the request.
    const LogLine *lastOfEntry(const std::set<std::string> &events)
    {
        return this->last([&](const LogLine &line) { return line.process == this->end.process && events.contains(line.event); }, 0);
    }

    size_t countNear(const Condition &condition) const
    {
        return static_cast<size_t>(std::count_if(this->lines.begin(), this->lines.end(), [&](const LogLine &line) {
            return &line != &this->end && std::abs(line.time - this->end.time) <= sameMoment && condition(line);
        }));
    }
};

std::string ago(const LogLine &line, const LogLine &end)
{
    const AK::Milliseconds distance = end.time - line.time;
    return distance >= 0 ? AK::concat(distance, " ms before") : AK::concat(-distance, " ms after");
}

std::string explainUnknownKey(Evidence &evidence)
{
    const LogLine *configuration = evidence.lastOfEntry({"configuration_in_force"});
    const std::string version = field(evidence.end, "configuration");
    return AK::concat("its key is in no account of configuration ", version,
                      configuration == nullptr ? "" : AK::concat(", which came into force ", ago(*configuration, evidence.end)));
}

// What took capacity away, as far as the entry knew.
std::string lostCapacity(Evidence &evidence)
{
    const LogLine *line = evidence.lastOfEntry({"upstream_removed", "upstream_suspended", "evacuations", "weights_named"});
    return line == nullptr ? "" : AK::concat("; last change of capacity: ", line->event, " ", ago(*line, evidence.end));
}

std::string explainLine(Evidence &evidence)
{
    const size_t others = evidence.countNear([&](const LogLine &line) {
        return line.event == "call_ended" && line.process == evidence.end.process
            && (field(line, "reason") == "queue_too_long" || field(line, "reason") == "waited_too_long");
    });
    return AK::concat("overload: every engine that it might use was full",
                      field(evidence.end, "reason") == "queue_too_long" ? " and the line too long for its time" : " for as long as it could wait", "; ", others,
                      " other calls of this entry were refused for that within a second", lostCapacity(evidence));
}

std::string explainNoUpstream(Evidence &evidence)
{
    const LogLine *named = evidence.lastOfEntry({"weights_named"});
    if (named != nullptr) {
        return AK::concat("no engine that it might use held weights of version ", field(*named, "version"), ", named ", ago(*named, evidence.end),
                          ", or could be reached");
    }
    return AK::concat("no upstream of the service could be used", lostCapacity(evidence));
}

std::string explainUpstream(Evidence &evidence)
{
    const std::string upstream = field(evidence.end, "upstream");
    const auto about = [&](const char *event) {
        return evidence.last([&](const LogLine &line) { return line.event == event && field(line, "upstream") == upstream; }, after);
    };
    const std::string what = AK::concat("upstream ", upstream, ": ", field(evidence.end, "reason"));
    const LogLine *stopping = evidence.lastOfEntry({"stopping"});
    if (stopping != nullptr) {
        return AK::concat("the entry was stopping (SIGTERM ", ago(*stopping, evidence.end), "); ", what);
    }
    if (const LogLine *removed = about("upstream_removed")) {
        return AK::concat("the upstream left the store ", ago(*removed, evidence.end), "; ", what);
    }
    if (const LogLine *changed = about("upstream_changed")) {
        return AK::concat("the upstream changed ", ago(*changed, evidence.end), " (draining ", field(*changed, "draining"), ", weights ",
                          field(*changed, "version"), ", started ", field(*changed, "born"), "); ", what);
    }
    const size_t others = evidence.countNear(
        [&](const LogLine &line) { return line.event == "call_ended" && field(line, "upstream") == upstream && field(line, "result") != "answered"; });
    if (const LogLine *suspended = about("upstream_suspended")) {
        return AK::concat("the upstream failed ", field(*suspended, "failures_in_row"), " calls in a row and was suspended ", ago(*suspended, evidence.end),
                          "; ", what);
    }
    if (others > 0) {
        return AK::concat("the upstream failed ", others, " other calls within a second; ", what);
    }
    return AK::concat("the upstream, or the way to it, failed this call alone; ", what);
}

std::string explainLate(const LogLine &end)
{
    const int64_t waited = number(end, "waited_ms");
    const int64_t first = number(end, "first_byte_ms");
    if (waited * 2 > first) {
        return AK::concat("answered late: it waited ", waited, " ms of ", first, " ms to its first event for a place");
    }
    return AK::concat("answered late: the upstream took ", first - waited, " ms to its first event, with ", field(end, "load"),
                      " calls there when it was chosen; longest pause ", number(end, "longest_gap_ms"), " ms");
}

// Sent at least once, without an answer: nobody knows whether it ran.
std::string outcomeOf(const LogLine &end)
{
    if (field(end, "result") == "refused") {
        return number(end, "status") == 503 ? " It has not run." : number(end, "sends") > 0 ? " It may have run." : "";
    }
    return "";
}

std::string causeOf(Evidence &evidence)
{
    const LogLine &end = evidence.end;
    const std::string reason = field(end, "reason");
    const std::string result = field(end, "result");
    using Explain = std::string (*)(Evidence &);
    static const std::vector<std::pair<std::string, Explain>> byReason{
        {"unknown key", explainUnknownKey}, {"queue_too_long", explainLine},   {"waited_too_long", explainLine}, {"no_upstream", explainNoUpstream},
        {"stream cut", explainUpstream},    {"no answer", explainUpstream},    {"answer cut", explainUpstream},  {"connect", explainUpstream},
        {"refused with", explainUpstream},  {"stream ended", explainUpstream},
    };
    if (result == "client_left") {
        return AK::concat("the client closed its connection after ", number(end, "took_ms"), " ms");
    }
    if (result == "answered") {
        return end.fields.value("late", false) ? explainLate(end) : AK::concat("answered in time, with status ", number(end, "status"));
    }
    for (const auto &[prefix, explain] : byReason) {
        if (reason.starts_with(prefix)) {
            return explain(evidence);
        }
    }
    if (result == "upstream_failed") {
        return explainUpstream(evidence);
    }
    return AK::concat(result, " with status ", number(end, "status"), ": ", reason);
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string &text)
{
    const size_t begin = text.find("{\"");
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    nlohmann::json object = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    LogLine line;
    line.fields = std::move(object);
    line.time = number(line, "time_ms");
    line.process = field(line, "process");
    line.event = field(line, "event");
    return line;
}

void readLog(std::istream &input, std::vector<LogLine> &lines)
{
    for (std::string text; std::getline(input, text);) {
        if (std::optional<LogLine> line = parseLogLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
}

absl::StatusOr<RequestStory> explainRequest(const std::string &request, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    const auto names = [&](const LogLine &line) {
        return field(line, "request") == request || field(line, "request_id") == request;
    };
    const auto end = std::find_if(lines.rbegin(), lines.rend(), [&](const LogLine &line) { return line.event == "call_ended" && names(line); });
    if (end == lines.rend()) {
        return absl::DataLossError(
            AK::concat("no line says how request ", request, " ended\nnext: give the logs of all entries; of the calls answered in time one of 16 is logged"));
    }
    Evidence evidence{lines, *end, {}};
    RequestStory story;
    story.cause = causeOf(evidence) + "." + outcomeOf(*end);
    for (const LogLine &line : lines) {
        if (names(line) || std::find(evidence.used.begin(), evidence.used.end(), &line) != evidence.used.end()) {
            story.lines.push_back(line);
        }
    }
    return story;
}

absl::Status runExplain(const CommandOptions &options, const CommandEnvironment &environment)
{
    std::vector<LogLine> lines;
    for (const std::string &path : options.files) {
        std::ifstream file(path);
        if (!file) {
            return absl::NotFoundError(AK::concat("can't read ", path));
        }
        readLog(file, lines);
    }
    CATKINLINK_ASSIGN(const RequestStory story, explainRequest(options.operand, std::move(lines)));
    if (options.json) {
        nlohmann::json list = nlohmann::json::array();
        for (const LogLine &line : story.lines) {
            list.push_back(line.fields);
        }
        environment.out << nlohmann::json{{"request", options.operand}, {"cause", story.cause}, {"lines", list}} << "\n";
        return absl::OkStatus();
    }
    for (const LogLine &line : story.lines) {
        constexpr AK::Milliseconds second = 1'000;
        nlohmann::json rest = line.fields;
        for (const char *shown : {"time_ms", "process", "event", "level", "component"}) {
            rest.erase(shown);
        }
        environment.out << formatTime(line.time) << "." << AK::concat(second + line.time % second).substr(1) << "  " << line.process << "  " << line.event
                        << "  " << rest << "\n";
    }
    environment.out << "cause: " << story.cause << "\n";
    return absl::OkStatus();
}

} // namespace Catkinlink
