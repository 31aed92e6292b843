#include <LibOnce/ClaimList.h>

#include <algorithm>

namespace LibOnce
{

namespace
{

// The object API returns at most this many objects, so a listing of this length may be truncated.
constexpr size_t listingLimit = 1'000;
constexpr std::string_view digits = "0123456789abcdef";

// Adds the claims in the requested state. Returns false when the limit of returned claims is reached.
bool addMatching(ClaimList &list, const std::vector<LibObjectStore::StoredObject> &objects, ClaimState state, size_t limit)
{
    for (const LibObjectStore::StoredObject &object : objects) {
        ++list.examined;
        auto record = parseClaim(object.value);
        if (!record.ok()) {
            ++list.malformed;
        } else if (record->state == state) {
            if (list.claims.size() == limit) {
                return false;
            }
            list.claims.emplace_back(object.name, *std::move(record));
        }
    }
    return true;
}

} // namespace

absl::StatusOr<ClaimList> listClaims(LibObjectStore::ObjectStore &store, ClaimState state, ClaimListLimits limits, AK::Milliseconds timeout)
{
    ClaimList list;
    // Stack of name prefixes that are still to be listed.
    std::vector<std::string> prefixes{""};
    for (int listings = 0; !prefixes.empty() && list.complete; ++listings) {
        if (listings == limits.listings) {
            list.complete = false;
            break;
        }
        const std::string prefix = std::move(prefixes.back());
        prefixes.pop_back();
        const auto objects = store.list(claimKind, prefix, timeout);
        if (!objects.ok()) {
            return objects.status();
        }
        if (objects->size() >= listingLimit) {
            std::for_each(digits.rbegin(), digits.rend(), [&](char digit) { prefixes.push_back(prefix + digit); });
        } else {
            list.complete = addMatching(list, *objects, state, limits.claims);
        }
    }
    return list;
}

} // namespace LibOnce
