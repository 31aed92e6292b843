#pragma once

#include "History.h"
#include <AK/Random.h>
#include <Platform/FakeStore.h>

namespace Soak
{

/// Writes the configuration. Besides routes that always exist, one for each kind of call, it has changing routes for safe calls.
class Operator
{
public:
    static constexpr int changingRoutes = 6;

    Operator(const AK::Clock &clock, History &history, FakeStore &store, uint64_t seed);

    /// A change that is drawn at random: a route that is added, removed or moved, or other idle timeouts. Does nothing while the store is away.
    void change();
    /// Writes the newest configuration again, after the store has come back from a copy.
    void repeat();
    void setStoreAway(bool away);

    static std::string prefixOf(CallKind kind);
    static std::string changingPrefix(int index);
    static AK::Milliseconds limitOf(CallKind kind);

private:
    std::string spec() const;
    void write();

    const AK::Clock &clock;
    History &history;
    FakeStore &store;
    AK::Random random;
    int64_t version = 0;
    /// Service of each changing route; empty when the route does not exist.
    std::array<std::string, changingRoutes> services;
    AK::Milliseconds idleTimeout = 15'000;
    bool storeAway = false;
};

} // namespace Soak
