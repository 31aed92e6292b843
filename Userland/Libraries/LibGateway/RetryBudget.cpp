#include <LibGateway/RetryBudget.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Share of the budget that is used. The rest covers repeats that are counted at the upstream in another window than here.
constexpr double usedShare = 0.7;

} // namespace

WindowCount::WindowCount(AK::Milliseconds window)
    : window(window)
{
    this->stamps.fill(-1);
}

int64_t WindowCount::stepAt(AK::Milliseconds now) const
{
    return now * static_cast<int64_t>(steps) / this->window;
}

void WindowCount::add(AK::Milliseconds now)
{
    const int64_t step = this->stepAt(now);
    const size_t slot = static_cast<size_t>(step) % steps;
    if (this->stamps[slot] != step) {
        this->stamps[slot] = step;
        this->counts[slot] = 0;
    }
    ++this->counts[slot];
}

int64_t WindowCount::total(AK::Milliseconds now) const
{
    const int64_t step = this->stepAt(now);
    int64_t sum = 0;
    for (size_t i = 0; i < steps; ++i) {
        if (this->stamps[i] > step - static_cast<int64_t>(steps)) {
            sum += this->counts[i];
        }
    }
    return sum;
}

void WindowCount::changeWindow(AK::Milliseconds now, AK::Milliseconds newWindow, int64_t kept)
{
    this->window = newWindow;
    this->stamps.fill(-1);
    const int64_t step = this->stepAt(now);
    const size_t slot = static_cast<size_t>(step) % steps;
    this->stamps[slot] = step;
    this->counts[slot] = kept;
}

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : settings(settings)
    , calls(settings.window)
    , repeats(settings.window)
{
}

void RetryBudget::reconfigure(const RetryBudgetSettings &newSettings, AK::Milliseconds now)
{
    if (newSettings.window != this->settings.window) {
        // Repeats are carried over whole, calls only for a window that does not exceed the new one: the budget is never larger than either window allows.
        const double part = std::min(1.0, static_cast<double>(newSettings.window) / static_cast<double>(this->settings.window));
        this->calls.changeWindow(now, newSettings.window, static_cast<int64_t>(part * static_cast<double>(this->calls.total(now))));
        this->repeats.changeWindow(now, newSettings.window, this->repeats.total(now));
    }
    this->settings = newSettings;
}

void RetryBudget::countCall(AK::Milliseconds now)
{
    this->calls.add(now);
}

bool RetryBudget::spend(AK::Milliseconds now, size_t entries)
{
    const double share = this->settings.extra / static_cast<double>(std::max<size_t>(1, entries));
    const double allowed = usedShare * (this->settings.ratio * static_cast<double>(this->calls.total(now)) + share);
    if (static_cast<double>(this->repeats.total(now)) + 1 > allowed) {
        return false;
    }
    this->repeats.add(now);
    return true;
}

} // namespace LibGateway
