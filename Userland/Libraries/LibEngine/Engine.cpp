#include <LibEngine/Engine.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibJson/BoundedJson.h>
#include <optional>

namespace LibEngine
{

std::string EngineStatus::fingerprint() const
{
    return AK::concat(this->instance, "-", this->generation, "-", this->root.substr(0, 16));
}

namespace
{

// A completion with its text; the service reads no longer ones.
constexpr LibJson::JsonLimits responseLimits{size_t{16} << 20, 64, 1'000'000};

} // namespace

std::optional<std::string> fingerprintOf(std::string_view text)
{
    constexpr std::string_view eventPrefix = "data: ";
    if (text.starts_with(eventPrefix)) {
        text.remove_prefix(eventPrefix.size());
    }
    const absl::StatusOr<nlohmann::json> json = LibJson::parseObject(text, responseLimits);
    if (!json.ok() || !json->contains("system_fingerprint") || !(*json)["system_fingerprint"].is_string()) {
        return std::nullopt;
    }
    return (*json)["system_fingerprint"].get<std::string>();
}

namespace
{

// Far above the number of concurrent calls of any engine.
constexpr uint64_t countLimit = 1'000'000;

absl::StatusOr<int> readCount(const nlohmann::json &json, const char *key, std::optional<int> fallback)
{
    const auto found = json.find(key);
    if (found == json.end() && fallback) {
        return *fallback;
    }
    if (found == json.end() || !found->is_number_unsigned() || found->get<uint64_t>() > countLimit) {
        return absl::InvalidArgumentError(AK::concat("engine status: /", key, " is ",
                                                     found == json.end() ? "missing" : found->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace),
                                                     ", must be 0 to ", countLimit));
    }
    return static_cast<int>(found->get<uint64_t>());
}

} // namespace

absl::StatusOr<EngineStatus> parseEngineStatus(std::string_view text)
{
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(text, LibJson::recordLimits);
    if (!parsed.ok()) {
        return absl::InvalidArgumentError(AK::concat("engine status: ", parsed.status().message()));
    }
    const nlohmann::json &json = *parsed;
    try {
        EngineStatus status;
        status.instance = json.at("instance").get<std::string>();
        // A conversion of a negative or too large number would give another generation or number of slots than the engine reported.
        if (!json.at("generation").is_number_unsigned()) {
            return absl::InvalidArgumentError(AK::concat("engine status: /generation is ", json["generation"].dump(), ", must be an unsigned integer"));
        }
        status.generation = json.at("generation").get<uint64_t>();
        status.ready = json.at("state").get<std::string>() == "ready";
        status.loading = json.at("state").get<std::string>() == "loading";
        status.model = json.value("model", "");
        status.adapter = json.value("adapter", "");
        status.version = json.value("version", "");
        status.root = json.at("weights_root").get<std::string>();
        CATKINLINK_ASSIGN(status.load, readCount(json, "load", 0));
        CATKINLINK_ASSIGN(status.slots, readCount(json, "slots", std::nullopt));
        return status;
    } catch (const nlohmann::json::exception &exception) {
        return absl::InvalidArgumentError(AK::concat("engine status: ", exception.what()));
    }
}

} // namespace LibEngine
