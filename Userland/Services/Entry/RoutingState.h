#pragma once

#include <AK/Random.h>
#include <LibRouting/Choice.h>
#include <LibRouting/Retry.h>
#include <map>
#include <mutex>

namespace Entry
{

/// State that an entry keeps between calls: load hints, retry budgets and the random number generator. Thread-safe.
class RoutingState
{
public:
    explicit RoutingState(AK::Random random);

    /// Stores the load hint that an agent returned with its reply.
    void storeHint(const std::string &upstream, const LibRouting::LoadHint &hint);
    /// Adds the latest load hints to the candidates.
    void addHints(std::vector<LibRouting::Candidate> &candidates) const;

    std::optional<size_t> choose(const std::vector<LibRouting::Candidate> &candidates, const LibRouting::ChoiceContext &context, AK::Milliseconds now);

    void countFirstAttempt(const std::string &account, const std::string &upstream);
    LibRouting::RetryDecision decideRetry(const std::string &account, const std::string &upstream, const LibRouting::FailedAttempt &failedAttempt);

    std::string randomId();

private:
    mutable std::mutex mutex;
    AK::Random random;
    LibRouting::ChoiceSettings settings;
    std::map<std::string, LibRouting::LoadHint> hints;
    std::map<std::pair<std::string, std::string>, LibRouting::RetryBudget> budgets;
};

} // namespace Entry
