#pragma once

#include <LibHttp/HttpServer.h>
#include <LibWeights/Manifest.h>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace CatkinlinkTest
{

/// What the double does with the next POST to apply.
enum class ApplyMode {
    Accept,
    /// Another operator's change is accepted first.
    Conflict,
    /// As Conflict, and the next 4 reads of the revision return the old one.
    ConflictUnseen,
    /// Another operator sets the same field first.
    ConflictOnField,
    StoreDown,
    /// The change takes effect and the response is 504.
    LoseResponseAfter,
    /// The change does not take effect and the response is 504.
    LoseResponseBefore,
    /// As LoseResponseBefore, and another change is accepted instead.
    LoseResponseAndConflict,
    /// The change takes effect and the connection is closed within the response.
    CutResponseAfter,
    LastCapacity,
    Invalid,
};

/// The manifest that the double serves as a weight store.
LibWeights::Manifest exampleManifest();

/// An entry's operator API over a document in memory, on 127.x.y.1 with x and y from the process id.
class OperatorApiDouble
{
public:
    explicit OperatorApiDouble(uint16_t port);

    /// Resets to revision 1 with the given document and zero counters.
    void reset(nlohmann::json document);

    AK::Endpoint endpoint() const;
    absl::Status start();

    /// Modes of the next applies; later ones are accepted.
    void planApplies(std::deque<ApplyMode> modes);
    void setMembers(nlohmann::json members);
    /// One list of members per read of the status; the last one is repeated.
    void planMembers(std::deque<nlohmann::json> readings);
    /// Status and outcome header of the response to calls.
    void setCallResponse(int status, std::string outcome);

    nlohmann::json document() const;
    int applies() const;
    int calls() const;
    int restrictions() const;

private:
    void handle(LibHttp::HttpExchange &exchange);
    LibHttp::HttpResponse apply(const nlohmann::json &request);
    void accept(const nlohmann::json &changed, const std::string &changeId, const std::string &author);

    struct State {
        nlohmann::json current;
        uint64_t revision = 1;
        std::string changeId = "first";
        nlohmann::json audit = nlohmann::json::array();
        std::deque<nlohmann::json> members;
        std::deque<ApplyMode> modes;
        std::string staleResponse;
        int staleResponseCount = 0;
        int callStatus = 200;
        std::string callOutcome = "done";
        int applyCount = 0;
        int callCount = 0;
        int restrictionCount = 0;
    };

    AK::Endpoint address;
    mutable std::mutex mutex;
    State state;
    LibHttp::HttpServer server;
};

} // namespace CatkinlinkTest
