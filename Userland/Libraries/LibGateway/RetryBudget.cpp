#include <LibGateway/RetryBudget.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Share of the budget that is used. The rest covers retries that the upstream counts in a different window than this entry.
constexpr double usedShare = 0.7;

} // namespace

SlidingWindowCounter::SlidingWindowCounter(AK::Milliseconds window)
    : window(window)
{
    this->bucketNumbers.fill(-1);
}

int64_t SlidingWindowCounter::bucketNumberAt(AK::Milliseconds now) const
{
    return now * static_cast<int64_t>(bucketCount) / this->window;
}

void SlidingWindowCounter::add(AK::Milliseconds now)
{
    const int64_t number = this->bucketNumberAt(now);
    const size_t index = static_cast<size_t>(number) % bucketCount;
    if (this->bucketNumbers[index] != number) {
        this->bucketNumbers[index] = number;
        this->counts[index] = 0;
    }
    ++this->counts[index];
}

int64_t SlidingWindowCounter::total(AK::Milliseconds now) const
{
    const int64_t number = this->bucketNumberAt(now);
    int64_t sum = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        if (this->bucketNumbers[i] > number - static_cast<int64_t>(bucketCount)) {
            sum += this->counts[i];
        }
    }
    return sum;
}

void SlidingWindowCounter::changeWindow(AK::Milliseconds now, AK::Milliseconds newWindow, int64_t kept)
{
    this->window = newWindow;
    this->bucketNumbers.fill(-1);
    const int64_t number = this->bucketNumberAt(now);
    const size_t index = static_cast<size_t>(number) % bucketCount;
    this->bucketNumbers[index] = number;
    this->counts[index] = kept;
}

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : settings(settings)
    , calls(settings.window)
    , retries(settings.window)
{
}

void RetryBudget::reconfigure(const RetryBudgetSettings &newSettings, AK::Milliseconds now)
{
    if (newSettings.window != this->settings.window) {
        // All retries are kept, but a shorter window keeps only its part of the calls: the budget never exceeds what either window allows.
        const double keptShare = std::min(1.0, static_cast<double>(newSettings.window) / static_cast<double>(this->settings.window));
        this->calls.changeWindow(now, newSettings.window, static_cast<int64_t>(keptShare * static_cast<double>(this->calls.total(now))));
        this->retries.changeWindow(now, newSettings.window, this->retries.total(now));
    }
    this->settings = newSettings;
}

void RetryBudget::countCall(AK::Milliseconds now)
{
    this->calls.add(now);
}

bool RetryBudget::trySpend(AK::Milliseconds now, size_t entries)
{
    const double share = this->settings.extra / static_cast<double>(std::max<size_t>(1, entries));
    const double allowed = usedShare * (this->settings.ratio * static_cast<double>(this->calls.total(now)) + share);
    if (static_cast<double>(this->retries.total(now)) + 1 > allowed) {
        return false;
    }
    this->retries.add(now);
    return true;
}

} // namespace LibGateway
