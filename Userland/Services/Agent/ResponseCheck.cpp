#include <Services/Agent/ResponseCheck.h>

#include <LibJson/BoundedJson.h>

namespace Agent
{

namespace
{

// As large as the longest response that an agent reads.
constexpr LibJson::JsonLimits responseLimits{size_t{8} << 20, 64, 1'000'000};

} // namespace

ResponseMatch checkResponse(std::string_view json, std::string_view fingerprint)
{
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(json, responseLimits);
    if (!parsed.ok()) {
        return ResponseMatch::Unusable;
    }
    const auto found = parsed->find("system_fingerprint");
    if (found == parsed->end()) {
        return parsed->contains("error") ? ResponseMatch::Unusable : ResponseMatch::Mismatch;
    }
    const bool match = found->is_string() && found->get_ref<const std::string &>() == fingerprint;
    return !match ? ResponseMatch::Mismatch : parsed->contains("error") ? ResponseMatch::Unusable : ResponseMatch::Match;
}

} // namespace Agent
