#pragma once

#include <AK/Clock.h>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace Agent
{

enum class NonceResult { Fresh, Repeated, Full };

/// Remembers which claims this agent has run. Bounded in number and age. Thread-safe.
class NonceMemory
{
public:
    /// Claims are dispatched within a few seconds of being written; a nonce older than this cannot arrive again.
    static constexpr AK::Milliseconds lifetimeMs = 600'000;
    static constexpr size_t limit = 100'000;

    /// Records a nonce before its call is sent to the upstream. Full: the limit is reached with nonces that are too young to forget.
    NonceResult remember(const std::string &nonce, AK::Milliseconds now);

    /// Forgets a nonce whose call was provably not sent.
    void forget(const std::string &nonce);

private:
    std::mutex mutex;
    std::set<std::string> nonces;
    std::deque<std::pair<AK::Milliseconds, std::string>> ages;
};

} // namespace Agent
