#pragma once

#include "CallCounters.h"
#include "ObjectTable.h"
#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibHttp/HttpServer.h>

namespace Fakes
{

/// Down: connections are closed without an answer or an effect. Slow: each answer waits. LoseAnswers: changes take effect, their connections are closed without
/// an answer. Stale: reads answer with the previous version of the object.
enum class ObjectApiFault { None, Down, Slow, LoseAnswers, Stale };

inline constexpr std::array objectApiFaultNames{
    AK::EnumName{ObjectApiFault::None, "none"},   AK::EnumName{ObjectApiFault::Down, "down"},
    AK::EnumName{ObjectApiFault::Slow, "slow"},   AK::EnumName{ObjectApiFault::LoseAnswers, "lose_answers"},
    AK::EnumName{ObjectApiFault::Stale, "stale"},
};

/// Stand-in for the object API and the host list.
class ObjectApi
{
public:
    explicit ObjectApi(const AK::Clock &clock);

    void handle(LibHttp::HttpExchange &exchange);
    /// Ends waiting watches.
    void close();

private:
    struct Fault {
        ObjectApiFault mode = ObjectApiFault::None;
        AK::Milliseconds delayMs = 0;
        /// Share of the calls that the fault hits.
        double share = 1;
    };

    LibHttp::HttpResponse control(const LibHttp::HttpRequest &request);
    LibHttp::HttpResponse setFault(const std::string &body);
    LibHttp::HttpResponse setHosts(const std::string &body);
    LibHttp::HttpResponse stats() const;
    LibHttp::HttpResponse answer(const LibHttp::HttpRequest &request, bool stale);
    LibHttp::HttpResponse read(const LibHttp::HttpRequest &request, const std::string &key, bool stale);
    LibHttp::HttpResponse listObjects(const LibHttp::HttpRequest &request, const std::string &kind) const;
    LibHttp::HttpResponse change(const LibHttp::HttpRequest &request, const std::string &key);
    Fault drawFault();

    const AK::Clock &clock;
    ObjectTable table;
    CallCounters counters;
    mutable std::mutex mutex;
    AK::Random random;
    Fault fault;
    nlohmann::json hosts = nlohmann::json::array();
};

} // namespace Fakes
