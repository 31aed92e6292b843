#include <LibSettings/JsonFile.h>

#include <AK/Text.h>
#include <LibJson/BoundedJson.h>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>
#include <vector>

namespace LibSettings
{

namespace
{

constexpr LibJson::JsonLimits documentLimits{documentLimitBytes, 32, 200'000};

} // namespace

absl::StatusOr<nlohmann::json> parseJson(const std::string &text, const std::string &source)
{
    if (const absl::Status status = LibJson::checkLimits(text, documentLimits); !status.ok()) {
        return absl::InvalidArgumentError(AK::concat(source, ": ", status.message()));
    }
    std::string problem;
    std::vector<std::set<std::string>> keysOfObjects;
    const auto checkEvent = [&](int /*depth*/, nlohmann::json::parse_event_t event, nlohmann::json &value) {
        if (event == nlohmann::json::parse_event_t::object_start) {
            keysOfObjects.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            keysOfObjects.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key && !keysOfObjects.back().insert(value.get<std::string>()).second && problem.empty()) {
            problem = AK::concat("key \"", value.get<std::string>(), "\" stands twice in one object");
        }
        return true;
    };
    try {
        nlohmann::json parsed = nlohmann::json::parse(text, checkEvent);
        if (!problem.empty()) {
            return absl::InvalidArgumentError(AK::concat(source, ": ", problem));
        }
        return parsed;
    } catch (const nlohmann::json::exception &exception) {
        return absl::InvalidArgumentError(AK::concat(source, ": ", exception.what()));
    }
}

absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path)
{
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored)) {
        return absl::NotFoundError(AK::concat("settings file \"", path, "\" is a directory"));
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return absl::NotFoundError(AK::concat("settings file \"", path, "\" cannot be opened: ", std::generic_category().message(errno)));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseJson(text.str(), path);
}

} // namespace LibSettings
