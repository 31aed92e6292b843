#include "PlatformNode.h"

#include <algorithm>
#include <csignal>

namespace
{

// Agents that hear no entry for this long read the store themselves.
constexpr AK::Milliseconds aloneAfter = 2'500;
constexpr AK::Milliseconds aloneInterval = 2'000;
// A process that starts finds out within this time which engines have the named weights; it does not know when they were named.
constexpr AK::Milliseconds restartTolerance = 2'000;

} // namespace

PlatformNode::PlatformNode(LibFiber::Loop &loop, const Platform::NodeSettings &settings, const AK::Endpoint &rpcAddress,
                           std::optional<AK::Endpoint> clientAddress)
    : loop(loop)
    , fleet(loop.clock())
    , decoder(loop.clock(), std::max<AK::Milliseconds>(0, switchBefore(settings) - restartTolerance))
    , store(loop, settings.store)
    , feeds(loop, this->store, this->decoder, this->fleet)
    , exchange(loop, {settings.name, settings.failureDomain, settings.region, rpcAddress, std::move(clientAddress), settings.seeds}, this->feeds, this->fleet)
{
}

void PlatformNode::readStoreWhenAlone()
{
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            this->loop.sleep(scope, aloneInterval);
            if (this->exchange.liveEntries(aloneAfter).empty()) {
                this->feeds.refreshFromStore(scope);
            }
        }
    });
}

AK::Milliseconds switchBefore(const Platform::NodeSettings &settings)
{
    // Calls that were sent to an engine may still wait in its queue for this long.
    constexpr AK::Milliseconds queueTime = 1'300;
    return std::max<AK::Milliseconds>(0, settings.bounds.maxWeightsRolloutTime - queueTime);
}

void waitForStop(LibFiber::Loop &loop)
{
    loop.events().onSignal(SIGTERM).ignoreResult().exclusiveJoin(loop.events().onSignal(SIGINT).ignoreResult()).wait(loop.rootScope());
}
