#include "RolloutTimeline.h"

#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace Catkinlink
{

namespace
{

constexpr size_t stepCount = rolloutStepNames.size();

int64_t integerOf(const LogLine &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() && found->is_number_integer() ? found->get<int64_t>() : 0;
}

std::optional<RolloutStep> stepOf(const LogLine &line)
{
    if (line.event == "weights_named") {
        return RolloutStep::Known;
    }
    if (line.event == "fetched" && integerOf(line, "chunks") == integerOf(line, "of")) {
        return RolloutStep::Fetched;
    }
    if (line.event == "load_ordered") {
        return RolloutStep::Ordered;
    }
    if (line.event == "loaded") {
        return RolloutStep::Loaded;
    }
    return std::nullopt;
}

std::string timeText(const std::optional<AK::Milliseconds> &time)
{
    return time ? AK::concat(*time, " ms") : "-";
}

nlohmann::json jsonTime(const std::optional<AK::Milliseconds> &time)
{
    return time ? nlohmann::json(*time) : nlohmann::json();
}

// The steps that took the time until the last engine served the version, at its host.
std::string describeLastHost(const RolloutTimeline &timeline)
{
    const auto last = std::find_if(timeline.hosts.rbegin(), timeline.hosts.rend(), [](const HostTimeline &host) { return host.at(RolloutStep::Loaded); });
    if (last == timeline.hosts.rend()) {
        return "no engine has loaded it";
    }
    const AK::Milliseconds total = *last->at(RolloutStep::Loaded);
    std::string text = AK::concat("last engine: ", last->process, " after ", total, " ms");
    AK::Milliseconds before = 0;
    for (const auto &row : rolloutStepNames) {
        const std::optional<AK::Milliseconds> reached = last->at(row.value);
        if (!reached) {
            continue;
        }
        constexpr AK::Milliseconds percent = 100;
        const AK::Milliseconds share = total > 0 ? (*reached - before) * percent / total : 0;
        text += AK::concat("; until ", row.name, " ", *reached - before, " ms (", share, " %)");
        before = *reached;
    }
    return text;
}

void printTable(const RolloutTimeline &timeline, std::ostream &out)
{
    std::vector<std::vector<std::string>> rows{{"AGENT", "KNOWN", "FETCHED", "ORDERED", "LOADED"}};
    for (const HostTimeline &host : timeline.hosts) {
        std::vector<std::string> row{host.process};
        for (const auto &step : rolloutStepNames) {
            row.push_back(timeText(host.at(step.value)));
        }
        rows.push_back(std::move(row));
    }
    for (const auto &[name, share] : {std::pair{"first", 0.0}, std::pair{"half", 0.5}, std::pair{"last", 1.0}}) {
        std::vector<std::string> row{name};
        for (const auto &step : rolloutStepNames) {
            row.push_back(timeText(timeline.whenReached(step.value, share)));
        }
        rows.push_back(std::move(row));
    }
    out << formatTable(rows) << "version " << timeline.version << ", named " << formatTime(timeline.namedAt) << "; " << describeLastHost(timeline) << "\n";
}

void printJson(const RolloutTimeline &timeline, std::ostream &out)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const HostTimeline &host : timeline.hosts) {
        nlohmann::json row{{"process", host.process}};
        for (const auto &step : rolloutStepNames) {
            row[AK::concat(step.name, "_ms")] = jsonTime(host.at(step.value));
        }
        hosts.push_back(std::move(row));
    }
    nlohmann::json steps;
    for (const auto &step : rolloutStepNames) {
        steps[std::string(step.name)] = {{"first_ms", jsonTime(timeline.whenReached(step.value, 0))},
                                         {"half_ms", jsonTime(timeline.whenReached(step.value, 0.5))},
                                         {"last_ms", jsonTime(timeline.whenReached(step.value, 1))}};
    }
    out << nlohmann::json{{"version", timeline.version}, {"named_at_ms", timeline.namedAt}, {"hosts", hosts}, {"steps", steps}} << "\n";
}

} // namespace

std::optional<AK::Milliseconds> HostTimeline::at(RolloutStep step) const
{
    return this->reached.at(static_cast<size_t>(step));
}

std::optional<AK::Milliseconds> RolloutTimeline::whenReached(RolloutStep step, double share) const
{
    std::vector<AK::Milliseconds> times;
    for (const HostTimeline &host : this->hosts) {
        if (const std::optional<AK::Milliseconds> time = host.at(step)) {
            times.push_back(*time);
        }
    }
    std::sort(times.begin(), times.end());
    const auto needed = std::max<size_t>(1, static_cast<size_t>(std::ceil(share * static_cast<double>(this->hosts.size()))));
    return needed <= times.size() ? std::optional(times[needed - 1]) : std::nullopt;
}

absl::StatusOr<RolloutTimeline> rolloutTimeline(int64_t version, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    RolloutTimeline timeline;
    timeline.version = version;
    std::map<std::string, HostTimeline> processes;
    // Entries learn of weights too, but fetch none.
    std::set<std::string> agents;
    for (const LogLine &line : lines) {
        const std::optional<RolloutStep> step = stepOf(line);
        if (!step || integerOf(line, "version") != version) {
            continue;
        }
        timeline.namedAt = timeline.namedAt == 0 ? line.time : timeline.namedAt;
        HostTimeline &host = processes[line.process];
        host.process = line.process;
        std::optional<AK::Milliseconds> &reached = host.reached.at(static_cast<size_t>(*step));
        reached = reached.value_or(line.time - timeline.namedAt);
        if (*step != RolloutStep::Known) {
            agents.insert(line.process);
        }
    }
    if (agents.empty()) {
        return absl::DataLossError(AK::concat("no agent has logged a step of the rollout of version ", version, "\nnext: give the logs of all agents"));
    }
    for (const std::string &name : agents) {
        timeline.hosts.push_back(processes[name]);
    }
    std::stable_sort(timeline.hosts.begin(), timeline.hosts.end(), [](const HostTimeline &left, const HostTimeline &right) {
        constexpr AK::Milliseconds never = std::numeric_limits<AK::Milliseconds>::max();
        return left.at(RolloutStep::Loaded).value_or(never) < right.at(RolloutStep::Loaded).value_or(never);
    });
    return timeline;
}

absl::Status runRolloutExplain(const CommandOptions &options, const CommandEnvironment &environment)
{
    const std::optional<int64_t> version = AK::parseInteger(options.operand);
    if (!version || *version <= 0) {
        return absl::InvalidArgumentError(AK::concat("\"", options.operand, "\" is no version of weights: must be a number above 0"));
    }
    CATKINLINK_ASSIGN(std::vector<LogLine> lines, readLogs(options.files));
    CATKINLINK_ASSIGN(const RolloutTimeline timeline, rolloutTimeline(*version, std::move(lines)));
    if (options.json) {
        printJson(timeline, environment.out);
    } else {
        printTable(timeline, environment.out);
    }
    return absl::OkStatus();
}

} // namespace Catkinlink
