#pragma once

#include <AK/Clock.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace LibGateway
{

/// Bounds on repeated sends to a service, counted over all entries.
struct RetryBudgetSettings {
    /// Repeats allowed for each call of a client.
    double ratio = 0.2;
    /// Repeats allowed besides, in a window, by all entries together.
    double extra = 100;
    AK::Milliseconds window = 10'000;

    bool operator==(const RetryBudgetSettings &) const = default;
};

/// Sliding count of events in a window, in sixteen steps.
class WindowCount
{
public:
    explicit WindowCount(AK::Milliseconds window);

    void add(AK::Milliseconds now);
    int64_t total(AK::Milliseconds now) const;

    /// Counts over another window. Takes over `kept` of the events so far, as if they had happened now.
    void changeWindow(AK::Milliseconds now, AK::Milliseconds newWindow, int64_t kept);

private:
    static constexpr size_t steps = 16;
    int64_t stepAt(AK::Milliseconds now) const;

    AK::Milliseconds window;
    std::array<int64_t, steps> counts{};
    std::array<int64_t, steps> stamps{};
};

/// The part of one entry in the retry budget of a service. Calls of its own clients earn it; the extra is divided by the number of entries, so that the sum
/// over all entries stays within the budget without talk between them. Load pattern: upstreams fail part of their calls and every call is repeated.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Changes the bounds without forgetting what was spent.
    void reconfigure(const RetryBudgetSettings &newSettings, AK::Milliseconds now);

    void countCall(AK::Milliseconds now);

    /// Spends one repeat if the budget allows it.
    bool spend(AK::Milliseconds now, size_t entries);

private:
    RetryBudgetSettings settings;
    WindowCount calls;
    WindowCount repeats;
};

} // namespace LibGateway
