#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibHttp/HttpServer.h>
#include <LibWeights/Safetensors.h>
#include <LibWeights/TokenBucket.h>
#include <mutex>

namespace Fakes
{

/// Down: requests fail with status 503. Slow: responses are sent at 1/50 of the rate limit. Corrupt: one bit of the response is flipped.
enum class WeightStoreFault { None, Down, Slow, Corrupt };

inline constexpr std::array weightStoreFaultNames{
    AK::EnumName{WeightStoreFault::None, "none"},
    AK::EnumName{WeightStoreFault::Down, "down"},
    AK::EnumName{WeightStoreFault::Slow, "slow"},
    AK::EnumName{WeightStoreFault::Corrupt, "corrupt"},
};

/// Fake weight store with a rate limit and faults. A `bytesPerSecond` of 0 means no limit.
class FakeWeightStore
{
public:
    FakeWeightStore(AK::Endpoint endpoint, const AK::Clock &clock, const LibWeights::GeneratedWeights &parameters, const std::vector<std::string> &versions,
                    int64_t bytesPerSecond);

    absl::Status start();
    void stop();

    /// `share` is the share of requests that are affected, from 0 to 1.
    void setFault(WeightStoreFault fault, double share = 1);
    std::string rootOf(const std::string &version) const;
    uint64_t bytesServed() const;

private:
    struct Version {
        std::map<std::string, std::string> files;
        std::string manifest;
        std::string root;
    };

    void handle(LibHttp::HttpExchange &exchange);
    void handleControl(LibHttp::HttpExchange &exchange);
    void serveBytes(LibHttp::HttpExchange &exchange, const std::string &bytes);
    WeightStoreFault sampleFault();
    void throttle(uint64_t bytes, bool slow);

    const AK::Clock &clock;
    int64_t bytesPerSecond;
    /// Keyed by the path prefix below which the version is served.
    std::map<std::string, Version> versions;
    std::map<std::string, std::string> roots;
    LibHttp::HttpServer server;
    mutable std::mutex mutex;
    WeightStoreFault fault = WeightStoreFault::None;
    double faultShare = 1;
    AK::Random random{1};
    LibWeights::TokenBucket bucket;
    uint64_t servedBytes = 0;
    uint64_t requestCount = 0;
};

} // namespace Fakes
