#pragma once

#include <AK/Clock.h>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace Agent
{

enum class NonceResult { Fresh, Repeated, Full };

/// Stores the nonces of the claims that this agent has run, so that a claim is not run twice. Bounded in number and age. Thread-safe.
class NonceCache
{
public:
    /// A claim is dispatched within a few seconds after it was written, so a nonce older than this cannot arrive again.
    static constexpr AK::Milliseconds lifetimeMs = 600'000;
    static constexpr size_t limit = 100'000;

    /// Adds a nonce before its call is sent to the upstream. Returns Full when the limit is reached and no nonce is old enough to be removed.
    NonceResult add(const std::string &nonce, AK::Milliseconds now);

    /// Removes a nonce whose call was provably not sent.
    void remove(const std::string &nonce);

private:
    std::mutex mutex;
    std::set<std::string> nonces;
    std::deque<std::pair<AK::Milliseconds, std::string>> insertions;
};

} // namespace Agent
