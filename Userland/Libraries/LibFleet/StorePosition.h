#pragma once

#include <compare>
#include <cstdint>

namespace LibFleet
{

/// A position in the history of the store. The store may come back from an older copy; its revisions then go back and are given out again, and its era rises.
/// Positions are ordered by era, then by revision. Stores and processes that report no era have era 0.
struct StorePosition {
    int64_t era = 0;
    /// 0 when nothing is known.
    int64_t revision = 0;

    StorePosition() = default;
    // Implicit, so that a revision stands for its position in the first era.
    StorePosition(int64_t revision, int64_t era = 0) // NOLINT(google-explicit-constructor)
        : era(era)
        , revision(revision)
    {
    }

    auto operator<=>(const StorePosition &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace LibFleet
