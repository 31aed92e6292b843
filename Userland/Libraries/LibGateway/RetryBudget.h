#pragma once

#include <AK/Clock.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace LibGateway
{

/// Limits on retries to a service, counted over all entries.
struct RetryBudgetSettings {
    /// Retries allowed per call of a client.
    double ratio = 0.2;
    /// Retries allowed in addition, per window, for all entries together.
    double extra = 100;
    AK::Milliseconds window = 10'000;

    bool operator==(const RetryBudgetSettings &) const = default;
};

/// Counts the events of a sliding window in buckets of equal length.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(AK::Milliseconds window);

    void add(AK::Milliseconds now);
    int64_t total(AK::Milliseconds now) const;

    /// Changes the length of the window. Keeps `kept` of the events so far, as if they had happened now.
    void changeWindow(AK::Milliseconds now, AK::Milliseconds newWindow, int64_t kept);

private:
    static constexpr size_t bucketCount = 16;
    int64_t bucketNumberAt(AK::Milliseconds now) const;

    AK::Milliseconds window;
    std::array<int64_t, bucketCount> counts{};
    std::array<int64_t, bucketCount> bucketNumbers{};
};

/// The share of one entry in the retry budget of a service. It grows with the calls of the entry's own clients; the extra is divided by the number of
/// entries, so that the sum over all entries stays within the budget without coordination. Load pattern: upstreams fail part of their calls and every call
/// is retried.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Changes the limits. Retries already spent still count.
    void reconfigure(const RetryBudgetSettings &newSettings, AK::Milliseconds now);

    void countCall(AK::Milliseconds now);

    /// Spends one retry if the budget allows it, and returns whether it did. `entries` share the budget.
    bool trySpend(AK::Milliseconds now, size_t entries);

private:
    RetryBudgetSettings settings;
    SlidingWindowCounter calls;
    SlidingWindowCounter retries;
};

} // namespace LibGateway
