#include "PlatformNode.h"

#include <algorithm>
#include <csignal>

namespace
{

// Agents without a response from any entry for this long read the store themselves.
constexpr AK::Milliseconds entrySilenceTimeout = 2'500;
constexpr AK::Milliseconds storeReadInterval = 2'000;
// A process that starts does not know when the weights were named. It learns within this time which engines have them.
constexpr AK::Milliseconds restartTolerance = 2'000;

} // namespace

PlatformNode::PlatformNode(LibFiber::Loop &loop, const Platform::NodeSettings &settings, const AK::Endpoint &rpcAddress,
                           std::optional<AK::Endpoint> clientAddress, LibMetrics::MetricRegistry &metrics)
    : loop(loop)
    , fleet(loop.clock())
    , decoder(loop.clock(), std::max<AK::Milliseconds>(0, weightsSwitchDelay(settings) - restartTolerance), metrics)
    , store(loop, settings.store)
    , feeds(loop, this->store, this->decoder, this->fleet, settings.bounds.store)
    , exchange(loop, {settings.name, settings.failureDomain, settings.region, rpcAddress, std::move(clientAddress), settings.seeds, settings.engineAddress},
               this->feeds, this->fleet)
{
}

void PlatformNode::readStoreWithoutEntries()
{
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            this->loop.sleep(scope, storeReadInterval);
            if (this->exchange.liveEntries(entrySilenceTimeout).empty()) {
                this->feeds.refreshFromStore(scope);
            }
        }
    });
}

AK::Milliseconds weightsSwitchDelay(const Platform::NodeSettings &settings)
{
    // Calls that were sent to an engine may wait in its queue for this long.
    constexpr AK::Milliseconds queueTime = 1'300;
    return std::max<AK::Milliseconds>(0, settings.bounds.maxWeightsRolloutTime - queueTime);
}

AK::Milliseconds weightsBeginLimit(const Platform::NodeSettings &settings)
{
    // From the naming until entries know of it, and from a withdrawal until the engine has dropped the call.
    constexpr AK::Milliseconds noticeTime = 500;
    return std::max<AK::Milliseconds>(0, settings.bounds.maxWeightsRolloutTime - noticeTime);
}

void waitForStopSignal(LibFiber::Loop &loop)
{
    loop.events().onSignal(SIGTERM).ignoreResult().exclusiveJoin(loop.events().onSignal(SIGINT).ignoreResult()).wait(loop.rootScope());
}
