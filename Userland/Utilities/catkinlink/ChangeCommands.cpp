#include "ChangeSubmission.h"
#include "Commands.h"
#include "RolloutProgress.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibSettings/SiteDocument.h>
#include <LibWeights/Manifest.h>
#include <algorithm>

namespace Catkinlink
{

namespace
{

constexpr AK::Milliseconds weightStoreTimeoutMs = 5'000;
// Limit of the site document.
constexpr size_t maxSettledRestrictions = 256;

/// A "domain out|in" or "upstream out|in" command: which thing it names and the value of in_service that it sets.
struct InServiceCommand {
    /// "failure_domains" or "upstreams".
    const char *section;
    /// Field of a restriction that names the failure domain or upstream.
    const char *restrictionKey;
    const char *noun;
    std::string name;
    bool inService;
};

InServiceCommand inServiceCommandOf(const CommandOptions &options)
{
    const bool inService = options.command.ends_with(" in");
    if (options.command.starts_with("domain")) {
        return {"failure_domains", "failure_domain", "failure domain", options.operand, inService};
    }
    return {"upstreams", "upstream", "upstream", options.operand, inService};
}

absl::Status unknownNameError(const std::string &noun, const std::string &name, const nlohmann::json &section)
{
    std::string known;
    for (const auto &[key, value] : section.items()) {
        known += AK::concat(known.empty() ? "" : ", ", key);
    }
    return absl::InvalidArgumentError(AK::concat(noun, " \"", name, "\" is not in the settings in force\nnext: use one of ", known));
}

// Adds the ids of restrictions to the document, because only that removes them before they expire. Above the limit the oldest ids are dropped.
void settleRestrictions(nlohmann::json &document, const std::vector<std::string> &ids)
{
    if (ids.empty()) {
        return;
    }
    nlohmann::json settled = document.value("settled_restrictions", nlohmann::json::array());
    for (const std::string &id : ids) {
        if (std::find(settled.begin(), settled.end(), id) == settled.end()) {
            settled.push_back(id);
        }
    }
    while (settled.size() > maxSettledRestrictions) {
        settled.erase(settled.begin());
    }
    document["settled_restrictions"] = settled;
}

absl::StatusOr<std::vector<std::string>> restrictionsOn(const EntryClient &client, const InServiceCommand &command)
{
    CATKINLINK_ASSIGN(const nlohmann::json status, client.read("/operator/v1/status"));
    std::vector<std::string> ids;
    for (const nlohmann::json &restriction : status.value("restrictions", nlohmann::json::array())) {
        if (textIn(restriction, command.restrictionKey) == command.name) {
            ids.push_back(textIn(restriction, "id"));
        }
    }
    return ids;
}

absl::Status postRestriction(const EntryClient &client, const InServiceCommand &command, const CommandOptions &options, const CommandEnvironment &environment)
{
    const nlohmann::json body{{command.restrictionKey, command.name}, {"reason", options.reason}, {"ttl_ms", options.lifetimeMs}};
    const LibHttp::HttpRequest request{
        .method = "POST", .path = "/operator/v1/restrictions", .headers = {{"content-type", "application/json"}}, .body = body.dump()};
    const auto response = client.send(request, RefusalIndicator::ServiceUnavailable);
    if (!response.ok()) {
        return absl::Status(response.status().code(),
                            AK::concat("emergency restriction: ", response.status().message(),
                                       "\nnext: catkinlink status shows whether it is in force; posting it again is safe"));
    }
    const nlohmann::json responseBody = objectIn(response->body);
    if (response->status != 202) {
        return absl::InternalError(AK::concat("emergency restriction: the entry answered ", response->status, ": ", textIn(responseBody, "error")));
    }
    if (options.json) {
        nlohmann::json report = responseBody;
        report["accepted"] = false;
        report["recorded"] = false;
        environment.out << report << "\n";
        return absl::OkStatus();
    }
    environment.out << command.noun << " " << command.name << " is provisionally out: restriction " << textIn(responseBody, "id") << " in force on "
                    << numberIn(responseBody, "in_force_on") << " of " << numberIn(responseBody, "members")
                    << ", not recorded\nnext: run the same command without "
                    << "--emergency when the store answers; the restriction expires after " << options.lifetimeMs / 1'000 << " s\n";
    return absl::OkStatus();
}

absl::StatusOr<std::string> rootFromWeightStore(const AK::Endpoint &store, const LibSettings::WeightsTarget &weights)
{
    const std::string path = LibWeights::weightsPath(weights.model, weights.adapter, weights.version) + "/manifest.json";
    const auto response = LibHttp::httpCall(store, {.path = path}, weightStoreTimeoutMs);
    if (!response.ok()) {
        return absl::InternalError(AK::concat("weight store: ", response.status().message(), "\nnext: give --root, or try again when it answers"));
    }
    if (response->status == 404) {
        return absl::InvalidArgumentError(
            AK::concat("weight store ", store.text(), " has no ", path, "\nnext: check --model, --adapter and --weights-version"));
    }
    if (response->status != 200) {
        return absl::InternalError(
            AK::concat("weight store ", store.text(), " answered ", path, " with ", response->status, "\nnext: give --root, or try again when it answers"));
    }
    const absl::StatusOr<LibWeights::Manifest> manifest = LibWeights::parseManifest(response->body);
    if (!manifest.ok()) {
        return absl::InvalidArgumentError(AK::concat("weight store ", store.text(), " ", path, ": ", manifest.status().message()));
    }
    return LibWeights::rootOf(*manifest);
}

nlohmann::json weightsJson(const LibSettings::WeightsTarget &weights)
{
    return {{"model", weights.model}, {"adapter", weights.adapter}, {"version", weights.version}, {"root", weights.root}};
}

absl::StatusOr<nlohmann::json> startRollout(nlohmann::json document, const nlohmann::json::json_pointer &service, const CommandOptions &options)
{
    const nlohmann::json before = document[service].value("target", nlohmann::json::object());
    LibSettings::WeightsTarget weights{options.model.empty() ? textIn(before, "model") : options.model,
                                       options.adapter.empty() ? textIn(before, "adapter") : options.adapter, options.weightsVersion, options.root};
    if (options.weightStore) {
        CATKINLINK_ASSIGN(const std::string root, rootFromWeightStore(*options.weightStore, weights));
        if (!options.root.empty() && options.root != root) {
            return absl::InvalidArgumentError(AK::concat("--root is ", options.root, ", but the manifest says ", root, "\nnext: check which version is meant"));
        }
        weights.root = root;
    }
    if (before == weightsJson(weights)) {
        return document;
    }
    document[service]["previous"] = before;
    document[service]["target"] = weightsJson(weights);
    return document;
}

absl::StatusOr<nlohmann::json> editRollout(nlohmann::json document, const CommandOptions &options)
{
    const nlohmann::json services = document.value("services", nlohmann::json::object());
    if (!services.contains(options.operand)) {
        return unknownNameError("service", options.operand, services);
    }
    const nlohmann::json::json_pointer service(AK::concat("/services/", options.operand));
    if (!document[service].contains("target")) {
        return absl::InvalidArgumentError(AK::concat("service \"", options.operand, "\" serves no weights\nnext: name a service of kind engine"));
    }
    if (options.command == "rollout start") {
        return startRollout(std::move(document), service, options);
    }
    if (options.command == "rollout rollback") {
        if (!document[service].contains("previous")) {
            return absl::FailedPreconditionError(AK::concat("refused: service \"", options.operand, "\" has no previous version\nnext: use rollout start"));
        }
        std::swap(document[service]["target"], document[service]["previous"]);
        return document;
    }
    const bool paused = options.command == "rollout pause";
    if (document[service].value("rollout", nlohmann::json::object()).value("paused", false) != paused) {
        document[service]["rollout"]["paused"] = paused;
    }
    return document;
}

// Refuses a second rollout while hosts still serve the version before the current target: the document would no longer hold that version, so these hosts
// would stop serving before they can switch.
absl::Status checkFinished(const RolloutProgress &progress, const nlohmann::json &document, const std::string &service)
{
    if (progress.done() || !document["services"][service].contains("previous")) {
        return absl::OkStatus();
    }
    std::string unfinishedHosts;
    for (const RolloutHost &host : progress.hosts) {
        if (!host.servesTarget) {
            unfinishedHosts += AK::concat(unfinishedHosts.empty() ? "" : ", ", textIn(host.member, "name"));
        }
    }
    if (unfinishedHosts.empty()) {
        return absl::OkStatus();
    }
    return absl::FailedPreconditionError(AK::concat("refused: the rollout of ", service, " to version ", progress.targetVersion, " is not finished on ",
                                                    unfinishedHosts, "\nnext: catkinlink rollout status ", service,
                                                    " --watch, or rollout rollback, or give --force"));
}

} // namespace

absl::Status runInService(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    const InServiceCommand command = inServiceCommandOf(options);
    CATKINLINK_ASSIGN(const std::vector<std::string> restrictions, restrictionsOn(client, command));
    const std::string field = AK::concat("/", command.section, "/", command.name, "/in_service");
    const auto edit = [&](nlohmann::json document) -> absl::StatusOr<nlohmann::json> {
        if (!document.contains(command.section) || !document[command.section].contains(command.name)) {
            return unknownNameError(command.noun, command.name, document.value(command.section, nlohmann::json::object()));
        }
        nlohmann::json &entry = document[command.section][command.name];
        if (entry.value("in_service", true) != command.inService) {
            entry["in_service"] = command.inService;
        }
        settleRestrictions(document, restrictions);
        return document;
    };
    const DocumentChange change{AK::concat(command.noun, " ", command.name, command.inService ? " in" : " out"), {field}, edit};
    const auto result = submitChange(client, change, options, environment);
    if (options.emergency && (absl::IsUnavailable(result.status()) || absl::IsUnknown(result.status()))) {
        environment.error << result.status().message() << "\nposting an emergency restriction\n";
        return postRestriction(client, command, options, environment);
    }
    CATKINLINK_TRY(result.status());
    reportAccepted(client, *result, change.description, options, environment);
    return absl::OkStatus();
}

absl::Status runRollout(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    const bool isStart = options.command == "rollout start";
    if (isStart && options.root.empty() && !options.weightStore) {
        return absl::OutOfRangeError("rollout start needs --root or --weight-store\nnext: catkinlink rollout start --help");
    }
    const std::string service = AK::concat("/services/", options.operand);
    const bool setsPausedOnly = options.command == "rollout pause" || options.command == "rollout resume";
    const std::vector<std::string> fields =
        setsPausedOnly ? std::vector{AK::concat(service, "/rollout/paused")} : std::vector{AK::concat(service, "/target"), AK::concat(service, "/previous")};
    CATKINLINK_ASSIGN(const nlohmann::json status, client.read("/operator/v1/status"));
    bool paused = false;
    const auto edit = [&](const nlohmann::json &document) -> absl::StatusOr<nlohmann::json> {
        CATKINLINK_ASSIGN(nlohmann::json edited, editRollout(document, options));
        if (isStart && !options.force && edited != document) {
            CATKINLINK_TRY(checkFinished(rolloutProgress(status, document, options.operand), document, options.operand));
        }
        paused = edited["services"][options.operand].value("rollout", nlohmann::json::object()).value("paused", false);
        return edited;
    };
    const DocumentChange change{AK::concat(options.command, " of ", options.operand), fields, edit};
    CATKINLINK_ASSIGN(const SubmissionResult result, submitChange(client, change, options, environment));
    reportAccepted(client, result, change.description, options, environment);
    if (paused && !setsPausedOnly) {
        environment.error << "warning: the rollout is paused, so no host switches\nnext: catkinlink rollout resume " << options.operand << "\n";
    }
    return absl::OkStatus();
}

} // namespace Catkinlink
