#include <Services/Agent/SwitchStatistics.h>

#include <algorithm>

namespace Agent
{

SwitchStatistics::SwitchStatistics(LibMembership::MembershipView &membership)
    : membership(membership)
{
}

void SwitchStatistics::observeRoot(const std::string &root)
{
    const std::lock_guard lock(this->mutex);
    if (root != this->root) {
        this->root = root;
        this->state.calls = 0;
        this->state.errors = 0;
    }
}

void SwitchStatistics::count(bool failed)
{
    const std::lock_guard lock(this->mutex);
    this->state.calls = std::min(countLimit, this->state.calls + 1);
    this->state.errors = std::min(countLimit, this->state.errors + (failed ? 1U : 0U));
}

void SwitchStatistics::publish(bool warm, AK::Milliseconds now)
{
    State current;
    {
        const std::lock_guard lock(this->mutex);
        this->state.warm = warm;
        const bool due = !this->publishedAt || now - *this->publishedAt >= updateIntervalMs;
        if (this->state == this->published || (!due && this->state.warm == this->published.warm)) {
            return;
        }
        this->published = this->state;
        this->publishedAt = now;
        current = this->state;
    }
    this->membership.updateSelf([&current](LibMembership::Member &self) {
        self.callsSinceSwitch = current.calls;
        self.errorsSinceSwitch = current.errors;
        self.warm = current.warm;
    });
}

} // namespace Agent
