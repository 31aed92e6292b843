#include "Explain.h"

#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibJson/BoundedJson.h>
#include <algorithm>
#include <fstream>
#include <functional>
#include <set>

namespace Catkinlink
{

namespace
{

// How long before the end of a request its cause may have happened: covers a drain with its grace period and the rollout time of a weights version.
constexpr AK::Milliseconds lookBack = 10'000;
// The loss of an upstream is detected up to this long after the calls that failed with it.
constexpr AK::Milliseconds lookAhead = 3'000;
// Calls that ended within this time of each other are taken to have met the same condition.
constexpr AK::Milliseconds nearbyWindow = 1'000;

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
struct LogContext {
    const std::vector<LogLine> &lines;
    const LogLine &end;
    /// Lines that the cause refers to.
    std::vector<const LogLine *> referenced;

    using Condition = std::function<bool(const LogLine &)>;

    /// The last line that meets a condition, from lookBack before the end until afterEnd behind it. The entry has logged its own state by the end of the
    /// request, so 0 is right for that; the loss of an upstream may be logged later.
    const LogLine *findLast(const Condition &condition, AK::Milliseconds afterEnd)
    {
        const LogLine *found = nullptr;
        for (const LogLine &line : this->lines) {
            const bool inWindow = line.time >= this->end.time - lookBack && line.time <= this->end.time + afterEnd;
            found = inWindow && &line != &this->end && condition(line) ? &line : found;
        }
        if (found != nullptr) {
            this->referenced.push_back(found);
        }
        return found;
    }

    /// The last line of the entry with one of the events, until the end of the request.
    const LogLine *findLastOfEntry(const std::set<std::string> &events)
    {
        return this->findLast([&](const LogLine &line) { return line.process == this->end.process && events.contains(line.event); }, 0);
    }

    size_t countNearby(const Condition &condition) const
    {
        return static_cast<size_t>(std::count_if(this->lines.begin(), this->lines.end(), [&](const LogLine &line) {
            return &line != &this->end && std::abs(line.time - this->end.time) <= nearbyWindow && condition(line);
        }));
    }
};

std::string timeFromEnd(const LogLine &line, const LogLine &end)
{
    const AK::Milliseconds distance = end.time - line.time;
    return distance >= 0 ? AK::concat(distance, " ms before") : AK::concat(-distance, " ms after");
}

std::string explainUnknownKey(LogContext &context)
{
    const LogLine *configuration = context.findLastOfEntry({"configuration_in_force"});
    const std::string version = field(context.end, "configuration");
    return AK::concat("its key is in no account of configuration ", version,
                      configuration == nullptr ? "" : AK::concat(", which came into force ", timeFromEnd(*configuration, context.end)));
}

// The last change of capacity that the entry logged before the end.
std::string describeCapacityChange(LogContext &context)
{
    const LogLine *line = context.findLastOfEntry(
        {"upstream_removed", "upstream_suspended", "upstream_limited", "upstream_leaving", "upstream_paused", "evacuations", "weights_named"});
    return line == nullptr ? "" : AK::concat("; last change of capacity: ", line->event, " ", timeFromEnd(*line, context.end));
}

std::string explainQueueRefusal(LogContext &context)
{
    const size_t others = context.countNearby([&](const LogLine &line) {
        return line.event == "call_ended" && line.process == context.end.process
            && (field(line, "reason") == "queue_too_long" || field(line, "reason") == "waited_too_long");
    });
    return AK::concat("overload: every engine that the call could use was full",
                      field(context.end, "reason") == "queue_too_long" ? " and the queue was too long for its deadline" : " for as long as it could wait", "; ",
                      others, " other calls at this entry were refused for the same reason within a second", describeCapacityChange(context));
}

// Parts of the call's prompt that a log line names.
std::string namedParts(const LogLine &end, const LogLine &line)
{
    const nlohmann::json parts = end.fields.value("prompt_parts", nlohmann::json::array());
    const std::string text = line.fields.dump();
    std::string named;
    for (const nlohmann::json &part : parts) {
        if (part.is_string() && text.find(AK::concat("\"", part.get<std::string>(), "\"")) != std::string::npos) {
            named += (named.empty() ? "" : ", ") + part.get<std::string>();
        }
    }
    return named;
}

std::string explainQuarantine(LogContext &context)
{
    const LogLine *found = context.findLast(
        [&](const LogLine &line) { return (line.event == "part_quarantined" || line.event == "quarantined_parts") && !namedParts(context.end, line).empty(); },
        0);
    return AK::concat("a part of its prompt crashes upstreams and is quarantined",
                      found == nullptr ? "" : AK::concat(": ", namedParts(context.end, *found), ", ", found->event, " ", timeFromEnd(*found, context.end)));
}

std::string explainNoUpstream(LogContext &context)
{
    const LogLine *named = context.findLastOfEntry({"weights_named"});
    if (named != nullptr) {
        return AK::concat("no engine that the call could use held weights of version ", field(*named, "version"), ", named ", timeFromEnd(*named, context.end),
                          ", or could be reached");
    }
    return AK::concat("no upstream of the service could be used", describeCapacityChange(context));
}

std::string explainAllPaused(LogContext &context)
{
    const LogLine *paused = context.findLastOfEntry({"upstream_paused"});
    return AK::concat("all upstreams that the call could use had asked entry ", context.end.process, " for a pause",
                      paused == nullptr ? ""
                                        : AK::concat("; the last one was ", field(*paused, "upstream"), " for ", field(*paused, "asked_ms"), " ms, ",
                                                     timeFromEnd(*paused, context.end)));
}

std::string explainUpstream(LogContext &context)
{
    const std::string upstream = field(context.end, "upstream");
    const auto findUpstreamEvent = [&](const char *event) {
        return context.findLast([&](const LogLine &line) { return line.event == event && field(line, "upstream") == upstream; }, lookAhead);
    };
    if (const LogLine *crashed = findUpstreamEvent("upstream_crashed")) {
        return AK::concat("the upstream crashed ", timeFromEnd(*crashed, context.end), " with ", field(*crashed, "calls_broken"), " calls of entry ",
                          crashed->process, "; ", field(context.end, "reason"));
    }
    const std::string upstreamReason = AK::concat("upstream ", upstream, ": ", field(context.end, "reason"));
    // A pause concerns the entry alone that was asked for it.
    const LogLine *paused = context.findLast(
        [&](const LogLine &line) { return line.event == "upstream_paused" && line.process == context.end.process && field(line, "upstream") == upstream; },
        lookAhead);
    if (paused != nullptr) {
        return AK::concat("the upstream asked for a pause of ", field(*paused, "asked_ms"), " ms ", timeFromEnd(*paused, context.end), "; ", upstreamReason);
    }
    if (const LogLine *leaving = findUpstreamEvent("upstream_leaving")) {
        return AK::concat("the upstream said that it was leaving ", timeFromEnd(*leaving, context.end), "; ", upstreamReason);
    }
    const LogLine *stopping = context.findLastOfEntry({"stopping"});
    if (stopping != nullptr) {
        return AK::concat("the entry was stopping (SIGTERM ", timeFromEnd(*stopping, context.end), "); ", upstreamReason);
    }
    if (const LogLine *removed = findUpstreamEvent("upstream_removed")) {
        return AK::concat("the upstream left the store ", timeFromEnd(*removed, context.end), "; ", upstreamReason);
    }
    if (const LogLine *changed = findUpstreamEvent("upstream_changed")) {
        return AK::concat("the upstream changed ", timeFromEnd(*changed, context.end), " (draining ", field(*changed, "draining"), ", weights ",
                          field(*changed, "version"), ", started ", field(*changed, "born"), "); ", upstreamReason);
    }
    const size_t others = context.countNearby(
        [&](const LogLine &line) { return line.event == "call_ended" && field(line, "upstream") == upstream && field(line, "result") != "answered"; });
    if (const LogLine *suspended = findUpstreamEvent("upstream_suspended")) {
        return AK::concat("the upstream failed ", field(*suspended, "failures_in_row"), " calls in a row and was suspended ",
                          timeFromEnd(*suspended, context.end), "; ", upstreamReason);
    }
    if (others > 0) {
        return AK::concat("the upstream failed ", others, " other calls within a second; ", upstreamReason);
    }
    return AK::concat("only this call failed at the upstream or on the connection to it; ", upstreamReason);
}

std::string explainLateResponse(const LogLine &end)
{
    const int64_t waited = number(end, "waited_ms");
    const int64_t first = number(end, "first_byte_ms");
    if (waited * 2 > first) {
        return AK::concat("answered late: it waited ", waited, " ms of ", first, " ms to its first event for a slot");
    }
    return AK::concat("answered late: the upstream took ", first - waited, " ms to its first event, with ", field(end, "load"),
                      " calls there when it was chosen; longest pause ", number(end, "longest_gap_ms"), " ms");
}

// Whether a refused call has run. One that was sent at least once and got no response may have run.
std::string describeExecution(const LogLine &end)
{
    if (field(end, "result") == "refused") {
        return number(end, "status") == 503 ? " It has not run." : number(end, "sends") > 0 ? " It may have run." : "";
    }
    return "";
}

std::string causeOf(LogContext &context)
{
    const LogLine &end = context.end;
    const std::string reason = field(end, "reason");
    const std::string result = field(end, "result");
    using ExplainFunction = std::string (*)(LogContext &);
    static const std::vector<std::pair<std::string, ExplainFunction>> byReason{
        {"a part of the prompt is quarantined", explainQuarantine},
        {"unknown key", explainUnknownKey},
        {"queue_too_long", explainQueueRefusal},
        {"waited_too_long", explainQueueRefusal},
        {"no_upstream", explainNoUpstream},
        {"all_paused", explainAllPaused},
        {"stream cut", explainUpstream},
        {"no answer", explainUpstream},
        {"answer cut", explainUpstream},
        {"connect", explainUpstream},
        {"refused with", explainUpstream},
        {"stream ended", explainUpstream},
        {"stream not continued", explainUpstream},
        {"unproven refusal", explainUpstream},
    };
    if (result == "client_left") {
        return AK::concat("the client closed its connection after ", number(end, "took_ms"), " ms");
    }
    if (result == "answered") {
        return end.fields.value("late", false) ? explainLateResponse(end) : AK::concat("answered in time, with status ", number(end, "status"));
    }
    for (const auto &[prefix, explain] : byReason) {
        if (reason.starts_with(prefix)) {
            return explain(context);
        }
    }
    if (result == "upstream_failed") {
        return explainUpstream(context);
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
    absl::StatusOr<nlohmann::json> object = LibJson::parseObject(std::string_view(text).substr(begin));
    if (!object.ok()) {
        return std::nullopt;
    }
    LogLine line;
    line.fields = std::move(*object);
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

absl::StatusOr<RequestExplanation> explainRequest(const std::string &request, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    const auto namesRequest = [&](const LogLine &line) {
        return field(line, "request") == request || field(line, "request_id") == request;
    };
    const auto end = std::find_if(lines.rbegin(), lines.rend(), [&](const LogLine &line) { return line.event == "call_ended" && namesRequest(line); });
    if (end == lines.rend()) {
        return absl::DataLossError(AK::concat("no line says how request ", request,
                                              " ended\nnext: give the logs of all entries; of the calls answered in time only one in 16 is logged"));
    }
    LogContext context{lines, *end, {}};
    RequestExplanation explanation;
    explanation.cause = causeOf(context) + "." + describeExecution(*end);
    for (const LogLine &line : lines) {
        if (namesRequest(line) || std::find(context.referenced.begin(), context.referenced.end(), &line) != context.referenced.end()) {
            explanation.lines.push_back(line);
        }
    }
    return explanation;
}

absl::StatusOr<std::vector<LogLine>> readLogs(const std::vector<std::string> &paths)
{
    std::vector<LogLine> lines;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            return absl::NotFoundError(AK::concat("log file \"", path, "\" cannot be opened"));
        }
        readLog(file, lines);
    }
    return lines;
}

absl::Status runExplain(const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(std::vector<LogLine> lines, readLogs(options.files));
    CATKINLINK_ASSIGN(const RequestExplanation explanation, explainRequest(options.operand, std::move(lines)));
    if (options.json) {
        nlohmann::json list = nlohmann::json::array();
        for (const LogLine &line : explanation.lines) {
            list.push_back(line.fields);
        }
        environment.out << nlohmann::json{{"request", options.operand}, {"cause", explanation.cause}, {"lines", list}} << "\n";
        return absl::OkStatus();
    }
    for (const LogLine &line : explanation.lines) {
        constexpr AK::Milliseconds second = 1'000;
        nlohmann::json remainingFields = line.fields;
        for (const char *shown : {"time_ms", "process", "event", "level", "component"}) {
            remainingFields.erase(shown);
        }
        environment.out << formatTime(line.time) << "." << AK::concat(second + line.time % second).substr(1) << "  " << line.process << "  " << line.event
                        << "  " << remainingFields << "\n";
    }
    environment.out << "cause: " << explanation.cause << "\n";
    return absl::OkStatus();
}

} // namespace Catkinlink
