#include <Services/Agent/AnswerCheck.h>

#include <nlohmann/json.hpp>

namespace Agent
{

AnswerMatch checkAnswer(std::string_view json, std::string_view fingerprint)
{
    const nlohmann::json parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object()) {
        return AnswerMatch::Unusable;
    }
    const auto found = parsed.find("system_fingerprint");
    if (found == parsed.end()) {
        return parsed.contains("error") ? AnswerMatch::Unusable : AnswerMatch::Mismatch;
    }
    const bool match = found->is_string() && found->get_ref<const std::string &>() == fingerprint;
    return !match ? AnswerMatch::Mismatch : parsed.contains("error") ? AnswerMatch::Unusable : AnswerMatch::Match;
}

} // namespace Agent
