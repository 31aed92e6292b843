#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <LibOnce/ClaimRecord.h>

namespace LibOnce
{

/// Limits of one search for claims.
struct ClaimListLimits {
    /// Maximum number of claims to return.
    size_t claims = 200;
    /// Maximum number of list calls to the object API, each of which returns at most 1,000 claims.
    int listings = 40;
};

/// Result of one search for claims.
struct ClaimList {
    /// Name and record of each claim in the requested state, in order of name.
    std::vector<std::pair<std::string, ClaimRecord>> claims;
    size_t examined = 0;
    /// Claims that could not be parsed.
    size_t malformed = 0;
    /// False when a limit was reached before every claim was examined.
    bool complete = true;
};

/// Returns the claims in one state. A listing that reaches the limit of the object API is split by the next hex digit of the claim names.
/// Errors: those of the store.
absl::StatusOr<ClaimList> listClaims(LibObjectStore::ObjectStore &store, ClaimState state, ClaimListLimits limits, AK::Milliseconds timeout);

} // namespace LibOnce
