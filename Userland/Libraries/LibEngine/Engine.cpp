#include <LibEngine/Engine.h>

#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace LibEngine
{

std::string EngineStatus::fingerprint() const
{
    return AK::concat(this->instance, "-", this->generation, "-", this->root.substr(0, 16));
}

std::optional<std::string> fingerprintOf(std::string_view text)
{
    constexpr std::string_view eventPrefix = "data: ";
    if (text.starts_with(eventPrefix)) {
        text.remove_prefix(eventPrefix.size());
    }
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("system_fingerprint") || !json["system_fingerprint"].is_string()) {
        return std::nullopt;
    }
    return json["system_fingerprint"].get<std::string>();
}

absl::StatusOr<EngineStatus> parseEngineStatus(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return absl::InvalidArgumentError("engine status is not a JSON object");
    }
    try {
        EngineStatus status;
        status.instance = json.at("instance").get<std::string>();
        status.generation = json.at("generation").get<uint64_t>();
        status.ready = json.at("state").get<std::string>() == "ready";
        status.loading = json.at("state").get<std::string>() == "loading";
        status.model = json.value("model", "");
        status.adapter = json.value("adapter", "");
        status.version = json.value("version", "");
        status.root = json.at("weights_root").get<std::string>();
        status.load = json.value("load", 0);
        status.slots = json.at("slots").get<int>();
        return status;
    } catch (const nlohmann::json::exception &exception) {
        return absl::InvalidArgumentError(AK::concat("engine status: ", exception.what()));
    }
}

} // namespace LibEngine
