#include "ChangeSubmission.h"
#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/JsonFile.h>
#include <LibSettings/SiteDocument.h>
#include <set>

namespace Catkinlink
{

namespace
{

std::string escapePointer(const std::string &key)
{
    std::string escaped;
    for (const char letter : key) {
        escaped += letter == '~' ? std::string("~0") : letter == '/' ? std::string("~1") : std::string(1, letter);
    }
    return escaped;
}

void compareValues(const std::string &path, const nlohmann::json &before, const nlohmann::json &after, std::vector<FieldDifference> &differences)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        differences.push_back({path, before, after});
        return;
    }
    std::set<std::string> keys;
    for (const nlohmann::json *side : {&before, &after}) {
        for (const auto &[key, value] : side->items()) {
            keys.insert(key);
        }
    }
    for (const std::string &key : keys) {
        compareValues(AK::concat(path, "/", escapePointer(key)), before.value(key, nlohmann::json()), after.value(key, nlohmann::json()), differences);
    }
}

// Splits the violations that LibSettings joins with "; " into one per line.
std::string onePerLine(std::string message)
{
    for (size_t at = message.find("; /"); at != std::string::npos; at = message.find("; /", at)) {
        message.replace(at, 2, "\n  ");
    }
    return message;
}

// Files replace the whole document, so they can undo a domain, upstream or rollout command whose change was not copied into them.
void warnOfUndoneCommands(const nlohmann::json &inForce, const nlohmann::json &document, std::ostream &error)
{
    for (const FieldDifference &difference : compareDocuments(inForce, document)) {
        const bool returned = difference.path.ends_with("/in_service") && difference.before == false && difference.after != false;
        const bool retargeted = difference.path.starts_with("/services/") && difference.path.ends_with("/target/root") && !difference.before.is_null();
        if (returned || retargeted) {
            error << "warning: the files " << (returned ? "return to service " : "replace the weights ") << difference.path << "\n";
        }
    }
}

} // namespace

std::vector<FieldDifference> compareDocuments(const nlohmann::json &before, const nlohmann::json &after)
{
    std::vector<FieldDifference> differences;
    compareValues("", before, after, differences);
    return differences;
}

void printDifferences(const std::vector<FieldDifference> &differences, std::ostream &out)
{
    for (const FieldDifference &difference : differences) {
        const auto text = [](const nlohmann::json &value) {
            return value.is_null() ? std::string("(absent)") : value.dump();
        };
        out << difference.path << ": " << text(difference.before) << " -> " << text(difference.after) << "\n";
    }
}

void printDifferences(const std::vector<FieldDifference> &differences, const std::string &source, std::ostream &out)
{
    out << differences.size() << (differences.size() == 1 ? " field differs from " : " fields differ from ") << source << "\n";
    printDifferences(differences, out);
}

nlohmann::json listDifferences(const std::vector<FieldDifference> &differences)
{
    nlohmann::json list = nlohmann::json::array();
    for (const FieldDifference &difference : differences) {
        list.push_back({{"path", difference.path}, {"before", difference.before}, {"after", difference.after}});
    }
    return list;
}

absl::StatusOr<nlohmann::json> readSettings(const CommandOptions &options)
{
    absl::StatusOr<nlohmann::json> result = LibSettings::readJsonFile(options.base);
    if (!result.ok()) {
        return result.status();
    }
    absl::Status status;
    if (options.overlay.empty()) {
        status = LibSettings::parseSiteDocument(*result).status();
    } else {
        CATKINLINK_ASSIGN(const nlohmann::json overlay, LibSettings::readJsonFile(options.overlay));
        result = LibSettings::mergeOverlay(*result, overlay);
        status = result.status();
    }
    if (!status.ok()) {
        return absl::InvalidArgumentError(AK::concat(options.base, options.overlay.empty() ? "" : " with ", options.overlay, ": ",
                                                     onePerLine(AK::concat(status.message())), "\nnext: correct the field and run catkinlink validate"));
    }
    return result;
}

absl::Status runValidate(const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json document, readSettings(options));
    if (options.json) {
        environment.out << nlohmann::json{{"valid", true}, {"site", document["site"]}} << "\n";
        return absl::OkStatus();
    }
    environment.out << "valid: site " << textIn(document, "site") << ", " << document["failure_domains"].size() << " failure domains, "
                    << document["services"].size() << " services, " << document["upstreams"].size() << " upstreams, " << document["accounts"].size()
                    << " accounts\n";
    return absl::OkStatus();
}

absl::Status runDiff(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json document, readSettings(options));
    nlohmann::json inForce;
    std::string source = options.against;
    if (options.against.empty()) {
        if (options.entries.empty()) {
            return absl::OutOfRangeError("diff needs --entry or --against\nnext: catkinlink diff --help");
        }
        CATKINLINK_ASSIGN(const nlohmann::json responseBody, client.read("/operator/v1/revision"));
        inForce = responseBody.value("document", nlohmann::json::object());
        source = AK::concat("revision ", numberIn(responseBody, "revision"));
    } else {
        CATKINLINK_ASSIGN(inForce, LibSettings::readJsonFile(options.against));
    }
    const std::vector<FieldDifference> differences = compareDocuments(inForce, document);
    if (options.json) {
        environment.out << nlohmann::json{{"against", source}, {"differences", listDifferences(differences)}} << "\n";
        return absl::OkStatus();
    }
    printDifferences(differences, source, environment.out);
    return absl::OkStatus();
}

absl::Status runApply(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json document, readSettings(options));
    Proposal proposal{document, 0, AK::randomHex(environment.random, 32), options.reason, options.force};
    nlohmann::json inForce;
    if (options.expectedRevision) {
        proposal.expectedRevision = *options.expectedRevision;
    } else {
        CATKINLINK_ASSIGN(inForce, client.read("/operator/v1/revision"));
        proposal.expectedRevision = numberIn(inForce, "revision");
        warnOfUndoneCommands(inForce.value("document", nlohmann::json::object()), document, environment.error);
    }
    CATKINLINK_ASSIGN(const SubmissionResult result, submitProposal(client, proposal, environment));
    if (result.accepted) {
        reportAccepted(client, result, AK::concat("settings of ", textIn(document, "site")), options, environment);
        return absl::OkStatus();
    }
    if (const auto latest = client.read("/operator/v1/revision"); latest.ok() && inForce.contains("document") && latest->contains("document")) {
        environment.error << "changed by others since revision " << proposal.expectedRevision << ":\n";
        printDifferences(compareDocuments(inForce["document"], (*latest)["document"]), environment.error);
    }
    return absl::FailedPreconditionError(AK::concat("refused: revision ", proposal.expectedRevision, " was expected, but ", result.conflictingChange,
                                                    " is in force\nnext: merge that change into the files, look at catkinlink diff and apply again"));
}

} // namespace Catkinlink
