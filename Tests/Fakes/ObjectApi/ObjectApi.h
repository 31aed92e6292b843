#pragma once

#include "CallCounters.h"
#include "ObjectTable.h"
#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibHttp/HttpServer.h>

namespace Fakes
{

/// Down: connections are closed without a response and without effect. Slow: each response is delayed by Fault::delayMs. LoseResponses: changes take effect,
/// but their connections are closed without a response. Stale: reads return the previous version of the object.
enum class ObjectApiFault { None, Down, Slow, LoseResponses, Stale };

inline constexpr std::array objectApiFaultNames{
    AK::EnumName{ObjectApiFault::None, "none"},   AK::EnumName{ObjectApiFault::Down, "down"},
    AK::EnumName{ObjectApiFault::Slow, "slow"},   AK::EnumName{ObjectApiFault::LoseResponses, "lose_answers"},
    AK::EnumName{ObjectApiFault::Stale, "stale"},
};

/// Fake of the object API and the host list.
class ObjectApi
{
public:
    explicit ObjectApi(const AK::Clock &clock);

    void handle(LibHttp::HttpExchange &exchange);
    /// Ends all watches that are waiting.
    void close();

private:
    struct Fault {
        ObjectApiFault mode = ObjectApiFault::None;
        AK::Milliseconds delayMs = 0;
        /// Share of the calls that are affected, from 0 to 1.
        double share = 1;
    };

    LibHttp::HttpResponse handleControl(const LibHttp::HttpRequest &request);
    LibHttp::HttpResponse setFault(const std::string &body);
    LibHttp::HttpResponse setHosts(const std::string &body);
    LibHttp::HttpResponse stats() const;
    LibHttp::HttpResponse handleObjectCall(const LibHttp::HttpRequest &request, bool stale);
    LibHttp::HttpResponse read(const LibHttp::HttpRequest &request, const std::string &key, bool stale);
    LibHttp::HttpResponse listObjects(const LibHttp::HttpRequest &request, const std::string &kind) const;
    LibHttp::HttpResponse change(const LibHttp::HttpRequest &request, const std::string &key);
    Fault sampleFault();

    const AK::Clock &clock;
    ObjectTable table;
    CallCounters counters;
    mutable std::mutex mutex;
    AK::Random random;
    Fault fault;
    nlohmann::json hosts = nlohmann::json::array();
};

} // namespace Fakes
