#include <LibSettings/JsonSchema.h>

#include <AK/Text.h>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace LibSettings
{

namespace
{

constexpr size_t maxReportedViolations = 5;

// Converts a path from valijson, such as ["<root>", "[field]", "[0]"], to a JSON Pointer.
std::string toJsonPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (size_t i = 1; i < context.size(); ++i) {
        std::string part = context[i];
        if (part.size() >= 2 && part.front() == '[' && part.back() == ']') {
            part = part.substr(1, part.size() - 2);
        }
        pointer += "/" + part;
    }
    return pointer.empty() ? "/" : pointer;
}

} // namespace

std::vector<Violation> violationsOf(const nlohmann::json &document, std::string_view schema)
{
    valijson::Schema parsed;
    const nlohmann::json schemaJson = nlohmann::json::parse(schema);
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), parsed);
    valijson::ValidationResults results;
    valijson::Validator validator;
    std::vector<Violation> violations;
    if (validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return violations;
    }
    valijson::ValidationResults::Error error;
    size_t maxDepth = 0;
    std::vector<valijson::ValidationResults::Error> errors;
    while (results.popError(error)) {
        maxDepth = std::max(maxDepth, error.context.size());
        errors.push_back(error);
    }
    for (const auto &candidate : errors) {
        // Errors at a lower depth only repeat that a nested value is invalid.
        if (candidate.context.size() == maxDepth) {
            violations.push_back({toJsonPointer(candidate.context), candidate.description});
        }
    }
    return violations;
}

absl::Status statusOf(const std::vector<Violation> &violations, std::string_view documentName)
{
    if (violations.empty()) {
        return absl::OkStatus();
    }
    std::string message(documentName);
    for (size_t i = 0; i < violations.size() && i < maxReportedViolations; ++i) {
        message += AK::concat(i == 0 ? ": " : "; ", violations[i].path, ": ", violations[i].reason);
    }
    return absl::InvalidArgumentError(message);
}

} // namespace LibSettings
