#pragma once

#include <AK/EnumNames.h>
#include <string_view>

namespace Agent
{

/// Result of comparing the fingerprint in a part of an engine's answer with that of the verified weights.
enum class AnswerMatch {
    /// The part carries the expected fingerprint.
    Match,
    /// The part carries another fingerprint, or none.
    Mismatch,
    /// The part is not a JSON object, or an engine error without another fingerprint. It doesn't show which weights are served.
    Unusable,
};

inline constexpr std::array answerMatchNames{
    AK::EnumName{AnswerMatch::Match, "match"},
    AK::EnumName{AnswerMatch::Mismatch, "mismatch"},
    AK::EnumName{AnswerMatch::Unusable, "unusable"},
};

/// Compares `system_fingerprint` of a JSON text (one chunk or a whole answer) with the verified fingerprint.
AnswerMatch checkAnswer(std::string_view json, std::string_view fingerprint);

} // namespace Agent
