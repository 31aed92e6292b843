#pragma once

#include <AK/EnumNames.h>
#include <string_view>

namespace Agent
{

/// What a part of an engine's answer says about the weights that made it.
enum class AnswerMatch {
    /// It carries the expected fingerprint.
    Match,
    /// It carries another fingerprint, or none.
    Mismatch,
    /// It is not JSON or it is an error of the engine without a fingerprint; it says nothing about weights.
    Unusable,
};

inline constexpr std::array answerMatchNames{
    AK::EnumName{AnswerMatch::Match, "match"},
    AK::EnumName{AnswerMatch::Mismatch, "mismatch"},
    AK::EnumName{AnswerMatch::Unusable, "unusable"},
};

/// Compares `system_fingerprint` of a JSON text, one chunk or a whole answer, with the verified one.
AnswerMatch checkAnswer(std::string_view json, std::string_view fingerprint);

} // namespace Agent
