#include <Services/Agent/NonceMemory.h>

#include <algorithm>

namespace Agent
{

NonceResult NonceMemory::remember(const std::string &nonce, AK::Milliseconds now)
{
    const std::lock_guard lock(this->mutex);
    while (!this->ages.empty() && now - this->ages.front().first > lifetimeMs) {
        this->nonces.erase(this->ages.front().second);
        this->ages.pop_front();
    }
    if (this->nonces.contains(nonce)) {
        return NonceResult::Repeated;
    }
    if (this->ages.size() >= limit) {
        return NonceResult::Full;
    }
    this->nonces.insert(nonce);
    this->ages.emplace_back(now, nonce);
    return NonceResult::Fresh;
}

void NonceMemory::forget(const std::string &nonce)
{
    const std::lock_guard lock(this->mutex);
    this->nonces.erase(nonce);
    // The age goes too: it would otherwise end the memory of a later run with the same nonce early.
    std::erase_if(this->ages, [&nonce](const auto &age) { return age.second == nonce; });
}

} // namespace Agent
