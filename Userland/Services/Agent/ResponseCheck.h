#pragma once

#include <AK/EnumNames.h>
#include <string_view>

namespace Agent
{

/// Result of comparing the fingerprint in a part of an engine's response with that of the verified weights.
enum class ResponseMatch {
    /// The part carries the expected fingerprint.
    Match,
    /// The part carries another fingerprint, or none.
    Mismatch,
    /// The part is not a JSON object, or an engine error without another fingerprint. It doesn't show which weights are served.
    Unusable,
};

inline constexpr std::array responseMatchNames{
    AK::EnumName{ResponseMatch::Match, "match"},
    AK::EnumName{ResponseMatch::Mismatch, "mismatch"},
    AK::EnumName{ResponseMatch::Unusable, "unusable"},
};

/// Compares `system_fingerprint` of a JSON text (one chunk or a whole response) with the verified fingerprint.
ResponseMatch checkResponse(std::string_view json, std::string_view fingerprint);

} // namespace Agent
