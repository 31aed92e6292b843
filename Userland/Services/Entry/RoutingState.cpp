#include <Services/Entry/RoutingState.h>

namespace Entry
{

namespace
{

// Upper bounds, because upstreams come and go; 900 upstreams and some tens of accounts are expected.
constexpr size_t hintLimit = 10'000;
constexpr size_t budgetLimit = 100'000;
constexpr int idDigits = 24;

} // namespace

RoutingState::RoutingState(AK::Random random)
    : random(random)
{
}

void RoutingState::storeHint(const std::string &upstream, const LibRouting::LoadHint &hint)
{
    const std::lock_guard lock(this->mutex);
    if (this->hints.size() >= hintLimit) {
        this->hints.clear();
    }
    this->hints[upstream] = hint;
}

void RoutingState::addHints(std::vector<LibRouting::Candidate> &candidates) const
{
    const std::lock_guard lock(this->mutex);
    for (auto &candidate : candidates) {
        if (const auto found = this->hints.find(candidate.name); found != this->hints.end()) {
            candidate.hint = found->second;
        }
    }
}

std::optional<size_t> RoutingState::choose(const std::vector<LibRouting::Candidate> &candidates, const LibRouting::ChoiceContext &context, AK::Milliseconds now)
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::chooseCandidate(candidates, context, now, this->settings, this->random);
}

void RoutingState::countFirstAttempt(const std::string &account, const std::string &upstream)
{
    const std::lock_guard lock(this->mutex);
    if (this->budgets.size() >= budgetLimit) {
        this->budgets.clear();
    }
    LibRouting::countFirstAttempt(this->budgets[{account, upstream}]);
}

LibRouting::RetryDecision RoutingState::decideRetry(const std::string &account, const std::string &upstream, const LibRouting::FailedAttempt &failedAttempt)
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::decideRetry(failedAttempt, this->budgets[{account, upstream}]);
}

std::string RoutingState::randomId()
{
    const std::lock_guard lock(this->mutex);
    return AK::randomHex(this->random, idDigits);
}

} // namespace Entry
