#include <Services/Agent/NonceCache.h>

#include <algorithm>

namespace Agent
{

NonceResult NonceCache::add(const std::string &nonce, AK::Milliseconds now)
{
    const std::lock_guard lock(this->mutex);
    while (!this->insertions.empty() && now - this->insertions.front().first > lifetimeMs) {
        this->nonces.erase(this->insertions.front().second);
        this->insertions.pop_front();
    }
    if (this->nonces.contains(nonce)) {
        return NonceResult::Repeated;
    }
    if (this->insertions.size() >= limit) {
        return NonceResult::Full;
    }
    this->nonces.insert(nonce);
    this->insertions.emplace_back(now, nonce);
    return NonceResult::Fresh;
}

void NonceCache::remove(const std::string &nonce)
{
    const std::lock_guard lock(this->mutex);
    this->nonces.erase(nonce);
    // The insertion time is removed too; otherwise it would make a nonce that is added again expire too early.
    std::erase_if(this->insertions, [&nonce](const auto &insertion) { return insertion.second == nonce; });
}

} // namespace Agent
