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

constexpr int maxReportedViolations = 5;

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

absl::Status validateAgainstSchema(const nlohmann::json &document, std::string_view schema, std::string_view documentName)
{
    valijson::Schema parsed;
    const nlohmann::json schemaJson = nlohmann::json::parse(schema);
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), parsed);
    valijson::ValidationResults results;
    valijson::Validator validator;
    if (validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return absl::OkStatus();
    }
    std::string message(documentName);
    valijson::ValidationResults::Error error;
    size_t maxDepth = 0;
    std::vector<valijson::ValidationResults::Error> violations;
    while (results.popError(error)) {
        maxDepth = std::max(maxDepth, error.context.size());
        violations.push_back(error);
    }
    int reported = 0;
    for (const auto &violation : violations) {
        // Errors at a lower depth only repeat that a nested value is invalid.
        if (violation.context.size() == maxDepth && reported < maxReportedViolations) {
            message += AK::concat(reported == 0 ? ": " : "; ", toJsonPointer(violation.context), ": ", violation.description);
            ++reported;
        }
    }
    return absl::InvalidArgumentError(message);
}

} // namespace LibSettings
