#include "CrashDetector.h"

#include <LibFiber/ByteChannel.h>

namespace Gateway
{

namespace
{

// All connections of a process that ends are reset within a few ms.
constexpr AK::Milliseconds collectTime = 15;
// A process that has ended refuses at once; a host without power never answers.
constexpr AK::Milliseconds connectTimeout = 150;

std::vector<std::string> promptPartsOf(const std::vector<LibGateway::CrashSuspect> &suspects)
{
    std::vector<std::string> texts;
    for (const LibGateway::CrashSuspect &suspect : suspects) {
        std::string text;
        for (const std::string &part : LibGateway::partsToLog(suspect.parts)) {
            text += (text.empty() ? "" : ",") + part;
        }
        texts.push_back(std::move(text));
    }
    return texts;
}

} // namespace

CrashDetector::CrashDetector(LibFiber::Loop &loop, LibMetrics::MetricRegistry &metrics)
    : loop(loop)
    , metrics(metrics)
{
}

void CrashDetector::onCrash(Observer newObserver)
{
    this->observer = std::move(newObserver);
}

void CrashDetector::recordBrokenCall(const LibFleet::UpstreamRecord &upstream, std::optional<LibGateway::CrashSuspect> suspect)
{
    const auto [broken, isFirst] = this->brokenCalls.try_emplace(upstream.id);
    ++broken->second.count;
    if (suspect) {
        broken->second.suspects.push_back(std::move(*suspect));
    }
    if (isFirst) {
        broken->second.since = this->loop.clock().now();
        this->loop.spawn([this, upstream](kj::WaitScope &scope) { this->examine(scope, upstream); });
    }
}

void CrashDetector::examine(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream)
{
    this->loop.sleep(scope, collectTime);
    const auto connection = LibFiber::ByteChannel::connect(this->loop, scope, upstream.address, this->loop.clock().now() + connectTimeout);
    const auto broken = this->brokenCalls.extract(upstream.id);
    if (connection.ok() || broken.empty()) {
        return;
    }
    const BrokenCalls &calls = broken.mapped();
    this->metrics.add("catkinlink_upstream_crashes_total", {{"service", upstream.service}});
    this->logger.info("upstream_crashed",
                      {{"upstream", upstream.id},
                       {"calls_broken", calls.count},
                       {"suspects", calls.suspects.size()},
                       {"prompt_parts", promptPartsOf(calls.suspects)},
                       {"reason", std::string(connection.status().message())}});
    if (this->observer) {
        this->observer({upstream.id, calls.since, calls.suspects});
    }
}

} // namespace Gateway
