#pragma once

#include <LibMembership/MembershipView.h>
#include <mutex>
#include <optional>

namespace Agent
{

/// Keeps what the own member record says about calls since the weights were switched, and limits how often it is spread. Thread-safe.
class SwitchRecord
{
public:
    /// Shortest time between two updates, unless `warm` changes.
    static constexpr AK::Milliseconds updateIntervalMs = 500;
    static constexpr uint32_t countLimit = 10'000;

    explicit SwitchRecord(LibMembership::MembershipView &membership);

    /// Starts counting anew when the root differs from the last one.
    void observeRoot(const std::string &root);
    void count(bool failed);

    /// Writes the own record when it has changed and the interval is over, or `warm` has changed.
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
