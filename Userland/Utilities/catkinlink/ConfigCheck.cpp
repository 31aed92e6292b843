#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/ConfigurationCheck.h>
#include <LibSettings/JsonFile.h>

namespace Catkinlink
{

namespace
{

// A file that cannot be read ends with the exit status of a usage error, so that a script can tell it from findings.
absl::StatusOr<nlohmann::json> readChecked(const std::string &path)
{
    absl::StatusOr<nlohmann::json> json = LibSettings::readJsonFile(path);
    if (!json.ok()) {
        return absl::OutOfRangeError(AK::concat(json.status().message(), "\nnext: give a readable JSON file"));
    }
    return json;
}

nlohmann::json listFindings(const std::vector<LibSettings::Finding> &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const LibSettings::Finding &finding : findings) {
        list.push_back({{"kind", AK::nameOf(LibSettings::findingKindNames, finding.kind)},
                        {"severity", AK::nameOf(LibSettings::findingSeverityNames, finding.severity)},
                        {"path", finding.path},
                        {"message", finding.message}});
    }
    return list;
}

void printFindings(const std::vector<LibSettings::Finding> &findings, const std::string &file, std::ostream &out)
{
    for (const LibSettings::Finding &finding : findings) {
        out << AK::nameOf(LibSettings::findingSeverityNames, finding.severity) << ": " << finding.path << ": " << finding.message << " ["
            << AK::nameOf(LibSettings::findingKindNames, finding.kind) << "]\n";
    }
    out << findings.size() << (findings.size() == 1 ? " finding in " : " findings in ") << file << "\n";
}

} // namespace

absl::StatusOr<ExitCode> runConfigCheck(const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(nlohmann::json json, readChecked(options.operand));
    absl::Status merged;
    if (!options.overlay.empty()) {
        CATKINLINK_ASSIGN(const nlohmann::json overlay, readChecked(options.overlay));
        merged = LibSettings::mergeOverlay(json, overlay).status();
        json.merge_patch(overlay);
    }
    std::vector<FieldDifference> differences;
    if (!options.against.empty()) {
        CATKINLINK_ASSIGN(const nlohmann::json current, readChecked(options.against));
        if (LibSettings::isProcessSettings(json) != LibSettings::isProcessSettings(current)) {
            return absl::OutOfRangeError(AK::concat("one of ", options.operand, " and ", options.against,
                                                    " is a site document, the other holds the settings of a process",
                                                    "\nnext: give two files of the same kind"));
        }
        differences = compareDocuments(current, json);
    }
    std::vector<LibSettings::Finding> findings = LibSettings::checkConfiguration(json);
    if (findings.empty() && !merged.ok()) {
        // An overlay that removes what the base does not contain leaves a valid document.
        findings.push_back({LibSettings::FindingKind::Invalid, LibSettings::FindingSeverity::Error, "", std::string(merged.message())});
    }
    if (options.json) {
        nlohmann::json result{{"file", options.operand}, {"findings", listFindings(findings)}};
        if (!options.against.empty()) {
            result["against"] = options.against;
            result["differences"] = listDifferences(differences);
        }
        environment.out << result << "\n";
    } else {
        printFindings(findings, options.operand, environment.out);
        if (!options.against.empty()) {
            printDifferences(differences, options.against, environment.out);
        }
    }
    return findings.empty() ? ExitCode::Done : ExitCode::Failed;
}

} // namespace Catkinlink
