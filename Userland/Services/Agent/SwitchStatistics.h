#pragma once

#include <LibMembership/MembershipView.h>
#include <mutex>
#include <optional>

namespace Agent
{

/// Counts calls and errors since the last weight switch and publishes them in the own member record. Limits how often the record is updated, because each
/// update is spread by gossip. Thread-safe.
class SwitchStatistics
{
public:
    /// Minimum time between two updates, unless `warm` changes.
    static constexpr AK::Milliseconds updateIntervalMs = 500;
    /// The counts stay at this value once they have reached it.
    static constexpr uint32_t countLimit = 10'000;

    explicit SwitchStatistics(LibMembership::MembershipView &membership);

    /// Resets the counts when the root differs from the last one.
    void observeRoot(const std::string &root);
    /// Counts one finished call.
    void count(bool failed);

    /// Updates the own member record when a count has changed and updateIntervalMs has passed, or when `warm` has changed.
    void publish(bool warm, AK::Milliseconds now);

private:
    struct State {
        uint32_t calls = 0;
        uint32_t errors = 0;
        bool warm = false;
        bool operator==(const State &) const = default;
    };

    LibMembership::MembershipView &membership;
    std::mutex mutex;
    std::string root;
    State state;
    State published;
    std::optional<AK::Milliseconds> publishedAt;
};

} // namespace Agent
