#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <LibOnce/ClaimRecord.h>

namespace LibOnce
{

/// Bounds of one search for claims.
struct ClaimListLimits {
    /// Claims that are returned.
    size_t claims = 200;
    /// Listings of the object API, of at most 1,000 claims each.
    int listings = 40;
};

/// Result of one search for claims.
struct ClaimList {
    /// Name and record of the claims in the wanted state, in order of name.
    std::vector<std::pair<std::string, ClaimRecord>> claims;
    size_t examined = 0;
    /// Claims that could not be parsed.
    size_t malformed = 0;
    /// False when a limit was reached before every claim was examined.
    bool complete = true;
};

/// Searches the claims for those in a state. A listing that is full is divided by the next digit of the claims' names.
/// Errors: those of the store.
absl::StatusOr<ClaimList> listClaims(LibObjectStore::ObjectStore &store, ClaimState state, ClaimListLimits limits, AK::Milliseconds timeout);

} // namespace LibOnce
