#pragma once

#include <AK/EnumNames.h>

namespace Operator
{

/// Field `code` of an error of the operator API, for programs; the field `error` is for people.
enum class OperatorErrorCode {
    Unauthorized,
    NotFound,
    /// The request itself is malformed, or names something that the document in force does not have.
    InvalidRequest,
    /// The document breaks a rule of the site document.
    InvalidDocument,
    /// The document would take out the last upstream of a service.
    LastUpstream,
    /// Another change was accepted first.
    Conflict,
    /// Nothing was accepted.
    StoreUnreachable,
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
