#pragma once

#include <AK/Random.h>
#include <LibRouting/Choice.h>
#include <LibRouting/Retry.h>
#include <map>
#include <mutex>

namespace Entry
{

/// What an entry remembers between calls: load hints, retry budgets and its random source. Thread-safe.
class RoutingMemory
{
public:
    explicit RoutingMemory(AK::Random random);

    void keepHint(const std::string &upstream, const LibRouting::LoadHint &hint);
    /// Puts the newest hints into the candidates.
    void addHints(std::vector<LibRouting::Candidate> &candidates) const;

    std::optional<size_t> choose(const std::vector<LibRouting::Candidate> &candidates, const LibRouting::ChoiceContext &context, AK::Milliseconds now);

    void countFirstAttempt(const std::string &account, const std::string &upstream);
    LibRouting::RetryDecision decideRetry(const std::string &account, const std::string &upstream, const LibRouting::FailedAttempt &outcome);

    std::string randomId();

private:
    mutable std::mutex mutex;
    AK::Random random;
    LibRouting::ChoiceSettings settings;
    std::map<std::string, LibRouting::LoadHint> hints;
    std::map<std::pair<std::string, std::string>, LibRouting::RetryBudget> budgets;
};

} // namespace Entry
