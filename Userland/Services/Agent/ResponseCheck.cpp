#include <Services/Agent/ResponseCheck.h>

#include <nlohmann/json.hpp>

namespace Agent
{

ResponseMatch checkResponse(std::string_view json, std::string_view fingerprint)
{
    const nlohmann::json parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object()) {
        return ResponseMatch::Unusable;
    }
    const auto found = parsed.find("system_fingerprint");
    if (found == parsed.end()) {
        return parsed.contains("error") ? ResponseMatch::Unusable : ResponseMatch::Mismatch;
    }
    const bool match = found->is_string() && found->get_ref<const std::string &>() == fingerprint;
    return !match ? ResponseMatch::Mismatch : parsed.contains("error") ? ResponseMatch::Unusable : ResponseMatch::Match;
}

} // namespace Agent
