#pragma once

#include <Gateway/GatewayService.h>
#include <LibHttpStream/MessageReader.h>
#include <functional>
#include <list>
#include <platform/CallHeaders.h>

/// Handles one request at a fake upstream: writes bytes to the channel and returns whether the connection stays open.
using UpstreamScript = std::function<bool(kj::WaitScope &, LibFiber::ByteChannel &, const LibHttpStream::RequestHead &, const std::string &body)>;

/// An upstream on loopback that runs a script for each request and records the requests.
class FakeUpstream
{
public:
    FakeUpstream(LibFiber::Loop &loop, uint16_t port, UpstreamScript script);

    /// Ends all connections and accepts no new ones for `downFor` ms, then calls `restarted`. May be called from a script, which must return after it.
    void crash(AK::Milliseconds downFor, std::function<void()> restarted);

    bool isDown() const;

    std::vector<LibHttpStream::RequestHead> requests;
    std::vector<std::string> bodies;
    int connections = 0;
    int openConnections = 0;
    /// Connections that the gateway closed before a response was written.
    int abandonedRequests = 0;
    /// Runs the script before the body of a request is read; the script gets an empty one.
    bool respondsEarly = false;

private:
    void listen();
    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);

    LibFiber::Loop &loop;
    uint16_t port;
    UpstreamScript script;
    bool down = false;
    kj::Promise<void> accepting = nullptr;
    std::list<kj::Promise<void>> servingConnections;
};

/// What a client sees of one call.
struct ClientResponse {
    int status = 0;
    std::string body;
    /// The response ended as its framing says.
    bool complete = false;
    /// Why the body could not be read to its end; see BodyReader::next().
    absl::Status bodyError;
    LibHttpStream::Headers headers;
};

/// Bytes that the bodies of all messages of a site may hold.
constexpr uint64_t siteBodyMemory = 8UL << 20;

/// One entry with its gateway and fake upstreams on loopback.
class GatewaySite
{
public:
    /// Adds one upstream per script, all of one service. Each site uses different ports.
    explicit GatewaySite(const std::vector<UpstreamScript> &scripts);

    /// Sets a configuration with one route, for host "h" and prefix "/r/", and one account "acc" with the key "k".
    void configure(LibFleet::RouteKind kind, bool resumable, int maxAttempts, AK::Milliseconds timeout);

    /// Changes the route that configure() has set; see LibFleet::Route::clientGapLimit.
    void setClientGapLimit(AK::Milliseconds limit);

    ClientResponse call(const LibHttpStream::Headers &headers = {}, const std::string &path = "/r/1", const std::string &body = "ask");
    /// The same from a fiber.
    ClientResponse callFrom(kj::WaitScope &scope, const LibHttpStream::Headers &headers = {}, const std::string &path = "/r/1",
                            const std::string &body = "ask");

    /// Crashes an upstream; after `downFor` ms a new instance of it is registered. The old one stays registered until then.
    void crashUpstream(size_t index, AK::Milliseconds downFor);

    LibFiber::Loop loop;
    LibFleet::FleetState fleet;
    Platform::CallHeaders codec;
    LibMetrics::MetricRegistry metrics;
    Gateway::Dispatcher dispatcher;
    Gateway::UpstreamConnectionPool connections;
    Gateway::CrashDetector crashes;
    Gateway::PromptQuarantine quarantine;
    LibHttpStream::BodyMemory bodyMemory;
    Gateway::LoopWatch loopWatch;
    AK::Endpoint address;
    Gateway::GatewayService gateway;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<AK::Endpoint> upstreamAddresses;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

/// Grants of all slots that the site has.
std::list<kj::Own<Gateway::Grant>> holdAllSlots(GatewaySite &site);

/// Writes a response whose declared length may differ from the length of the body.
void writeResponse(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibFiber::Loop &loop, const std::string &id, int status, const std::string &body,
                   size_t declaredLength, const LibHttpStream::Headers &moreHeaders = {});
