#pragma once

#include <AK/EnumNames.h>

namespace Operator
{

/// Error code in the field `code` of an error response of the operator API. The field `error` holds the message for people.
enum class OperatorErrorCode {
    Unauthorized,
    NotFound,
    /// The request is malformed, or names something that the active document does not contain.
    InvalidRequest,
    /// The document violates a rule for site documents.
    InvalidDocument,
    /// The document would remove the last usable upstream of a service.
    LastUpstream,
    /// The expected revision is outdated, because another change was accepted first.
    Conflict,
    /// The store cannot be reached; no change was accepted.
    StoreUnreachable,
    /// The store did not confirm the change, which may have been accepted.
    OutcomeUnknown,
    /// The process has not received a revision yet.
    NoConfiguration,
};

inline constexpr std::array operatorErrorCodeNames{
    AK::EnumName{OperatorErrorCode::Unauthorized, "unauthorized"},          AK::EnumName{OperatorErrorCode::NotFound, "not_found"},
    AK::EnumName{OperatorErrorCode::InvalidRequest, "invalid_request"},     AK::EnumName{OperatorErrorCode::InvalidDocument, "invalid_document"},
    AK::EnumName{OperatorErrorCode::LastUpstream, "last_upstream"},         AK::EnumName{OperatorErrorCode::Conflict, "conflict"},
    AK::EnumName{OperatorErrorCode::StoreUnreachable, "store_unreachable"}, AK::EnumName{OperatorErrorCode::OutcomeUnknown, "outcome_unknown"},
    AK::EnumName{OperatorErrorCode::NoConfiguration, "no_configuration"},
};

} // namespace Operator
