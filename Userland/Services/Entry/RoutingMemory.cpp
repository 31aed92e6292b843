#include <Services/Entry/RoutingMemory.h>

namespace Entry
{

namespace
{

// Upstreams come and go; 900 workers and some tens of accounts are expected.
constexpr size_t hintLimit = 10'000;
constexpr size_t budgetLimit = 100'000;
constexpr int idDigits = 24;

} // namespace

RoutingMemory::RoutingMemory(AK::Random random)
    : random(random)
{
}

void RoutingMemory::keepHint(const std::string &upstream, const LibRouting::LoadHint &hint)
{
    const std::lock_guard lock(this->mutex);
    if (this->hints.size() >= hintLimit) {
        this->hints.clear();
    }
    this->hints[upstream] = hint;
}

void RoutingMemory::addHints(std::vector<LibRouting::Candidate> &candidates) const
{
    const std::lock_guard lock(this->mutex);
    for (auto &candidate : candidates) {
        if (const auto found = this->hints.find(candidate.name); found != this->hints.end()) {
            candidate.hint = found->second;
        }
    }
}

std::optional<size_t> RoutingMemory::choose(const std::vector<LibRouting::Candidate> &candidates, const LibRouting::ChoiceContext &context,
                                            AK::Milliseconds now)
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::chooseCandidate(candidates, context, now, this->settings, this->random);
}

void RoutingMemory::countFirstAttempt(const std::string &account, const std::string &upstream)
{
    const std::lock_guard lock(this->mutex);
    if (this->budgets.size() >= budgetLimit) {
        this->budgets.clear();
    }
    LibRouting::countFirstAttempt(this->budgets[{account, upstream}]);
}

LibRouting::RetryDecision RoutingMemory::decideRetry(const std::string &account, const std::string &upstream, const LibRouting::FailedAttempt &outcome)
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::decideRetry(outcome, this->budgets[{account, upstream}]);
}

std::string RoutingMemory::randomId()
{
    const std::lock_guard lock(this->mutex);
    return AK::randomHex(this->random, idDigits);
}

} // namespace Entry
