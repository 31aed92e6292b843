#pragma once

#include "FakeStore.h"
#include <Fleet/ObjectFeeds.h>
#include <LibMetrics/MetricRegistry.h>
#include <functional>
#include <platform/ObjectCodec.h>
#include <platform/StoreClient.h>

/// The parts of a process that read the store, and a stand-in for it.
class StoreReader
{
public:
    StoreReader();

    /// Starts to list and watch all kinds.
    void start();
    /// Runs the loop until the condition holds or 5 s have passed. Returns whether it holds.
    bool waitFor(const std::function<bool()> &condition);

    bool hasUpstream(const std::string &id) const;

    LibFiber::Loop loop;
    FakeStore store{this->loop};
    LibFleet::FleetState state{this->loop.clock()};
    LibMetrics::MetricRegistry metrics;
    Platform::ObjectCodec codec{this->loop.clock(), 4'700, this->metrics};
    Platform::StoreClient client{this->loop, this->store.address()};
    Fleet::ObjectFeeds feeds{this->loop, this->client, this->codec, this->state};
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

/// The text of a registration of an upstream; `state` is "ready" or "draining". `more` is added to its fields.
std::string registration(const std::string &state, const std::string &more = "");
