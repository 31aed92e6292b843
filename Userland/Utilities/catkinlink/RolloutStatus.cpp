#include "Commands.h"
#include "RolloutProgress.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>

namespace Catkinlink
{

namespace
{

constexpr AK::Milliseconds watchIntervalMs = 1'000;
// A host's new state takes a few gossip rounds to reach the entry, so a single reading may show a rollout between two waves as stopped.
constexpr int readingsUntilStopped = 3;

absl::StatusOr<RolloutProgress> readProgress(const EntryClient &client, const std::string &service)
{
    CATKINLINK_ASSIGN(const nlohmann::json revision, client.read("/operator/v1/revision"));
    CATKINLINK_ASSIGN(const nlohmann::json status, client.read("/operator/v1/status"));
    RolloutProgress progress = rolloutProgress(status, revision.value("document", nlohmann::json::object()), service);
    if (progress.targetRoot.empty()) {
        return absl::InvalidArgumentError(
            AK::concat("the settings in force have no service \"", service, "\" that serves weights\nnext: catkinlink status lists the services"));
    }
    if (progress.hosts.empty()) {
        return absl::InternalError(
            AK::concat("no live host serves \"", service, "\"\nnext: catkinlink status lists the members; look at the logs of the agents"));
    }
    return progress;
}

void printJson(const RolloutProgress &progress, const std::string &service, std::ostream &out)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const RolloutHost &host : progress.hosts) {
        hosts.push_back(host.member);
        hosts.back()["serves_target"] = host.servesTarget;
    }
    out << nlohmann::json{{"service", service},
                          {"target_version", progress.targetVersion},
                          {"hosts", hosts},
                          {"target_root", progress.targetRoot},
                          {"serving", progress.serving},
                          {"missing", progress.missing},
                          {"stopped", progress.stopReason},
                          {"done", progress.done()}}
        << "\n"
        << std::flush;
}

void printTable(const RolloutProgress &progress, const std::string &service, const CommandEnvironment &environment)
{
    std::vector<std::vector<std::string>> rows{{"HOST", "FAILURE DOMAIN", "STATE", "VERSION", "WEIGHTS", "CHUNKS", "CALLS", "ERRORS"}};
    for (const RolloutHost &host : progress.hosts) {
        const uint64_t held = numberIn(host.member, "chunks_held");
        const uint64_t total = numberIn(host.member, "chunks_total");
        const std::string bar = environment.terminal && total > 0 ? AK::concat(" ", progressBar(held, total)) : "";
        rows.push_back({textIn(host.member, "name"), textIn(host.member, "failure_domain"), textIn(host.member, "serving_state"),
                        host.version.empty() ? "-" : host.version, shortRoot(host.member, "weights_root"), AK::concat(held, "/", total, bar),
                        AK::concat(numberIn(host.member, "calls_since_switch")), AK::concat(numberIn(host.member, "errors_since_switch"))});
    }
    environment.out << formatTable(rows);
    for (const std::string &name : progress.missing) {
        environment.out << name << " has no live process; the rollout does not wait for it\n";
    }
    environment.out << progress.serving << " of " << progress.hosts.size() << " live hosts of " << service << " serve the target, version "
                    << progress.targetVersion << (environment.terminal ? " " + progressBar(progress.serving, progress.hosts.size()) : std::string()) << "\n";
    if (!progress.stopReason.empty()) {
        environment.out << "no further host switches: " << progress.stopReason << "\n";
    }
    environment.out << std::flush;
}

absl::Status stoppedError(const std::string &service, const std::string &reason)
{
    const char *next = reason == "it is paused" ? "resume " : "rollback ";
    return absl::AbortedError(AK::concat("the rollout of ", service, " has stopped: ", reason, "\nnext: catkinlink rollout ", next, service));
}

} // namespace

absl::Status runRolloutStatus(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    const AK::Milliseconds start = environment.clock.now();
    int stoppedReadings = 0;
    while (true) {
        CATKINLINK_ASSIGN(const RolloutProgress progress, readProgress(client, options.operand));
        if (options.json) {
            printJson(progress, options.operand, environment.out);
        } else {
            printTable(progress, options.operand, environment);
        }
        if (!options.watch || progress.done()) {
            return absl::OkStatus();
        }
        stoppedReadings = progress.stopReason.empty() ? 0 : stoppedReadings + 1;
        if (stoppedReadings == readingsUntilStopped) {
            return stoppedError(options.operand, progress.stopReason);
        }
        if (options.waitMs && environment.clock.now() - start >= *options.waitMs) {
            return absl::DeadlineExceededError(AK::concat(progress.serving, " of ", progress.hosts.size(), " live hosts of ", options.operand,
                                                          " serve the target after ", *options.waitMs / 1'000,
                                                          " s\nnext: the rollout goes on by itself; docs/operators/stuck-rollout.md explains the states"));
        }
        environment.clock.sleep(watchIntervalMs);
    }
}

} // namespace Catkinlink
