#pragma once

#include <Gateway/GatewayService.h>
#include <LibHttpStream/MessageReader.h>
#include <functional>
#include <platform/CallHeaders.h>

/// What a stand-in of an upstream does with one request: writes bytes to the channel and returns whether the connection goes on.
using UpstreamScript = std::function<bool(kj::WaitScope &, LibFiber::ByteChannel &, const LibHttpStream::RequestHead &, const std::string &body)>;

/// A stand-in of an upstream on loopback that records the requests that it got.
class StandInUpstream
{
public:
    StandInUpstream(LibFiber::Loop &loop, uint16_t port, UpstreamScript script);

    std::vector<LibHttpStream::RequestHead> requests;
    std::vector<std::string> bodies;
    int connections = 0;
    /// Connections on which a client left before an answer was written.
    int left = 0;

private:
    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);

    LibFiber::Loop &loop;
    UpstreamScript script;
};

/// What a client sees of one call.
struct ClientView {
    int status = 0;
    std::string body;
    /// The answer ended as its framing says.
    bool whole = false;
    LibHttpStream::Headers headers;
};

/// One entry with its gateway on loopback and stand-ins of upstreams.
class GatewaySite
{
public:
    /// Adds `scripts.size()` upstreams of one service; each site takes ports of its own.
    explicit GatewaySite(const std::vector<UpstreamScript> &scripts);

    /// A configuration with one route of the kind under host "h" and prefix "/r/", and the key "k" of account "acc".
    void configure(LibFleet::RouteKind kind, bool resumable, int maxAttempts, AK::Milliseconds timeout);

    ClientView call(const LibHttpStream::Headers &headers = {}, const std::string &path = "/r/1", const std::string &body = "ask");

    LibFiber::Loop loop;
    LibFleet::FleetState fleet;
    Platform::CallHeaders codec;
    LibMetrics::MetricRegistry metrics;
    Gateway::Dispatcher dispatcher;
    Gateway::UpstreamConnectionPool links;
    AK::Endpoint address;
    Gateway::GatewayService gateway;
    std::vector<std::unique_ptr<StandInUpstream>> upstreams;
    LibFiber::SpawnedFibersEnd fibersEnd{this->loop};
};

/// Answers with a body of a declared length, which may differ from what is sent.
void writeCounted(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibFiber::Loop &loop, const std::string &id, int status, const std::string &body,
                  size_t declared, const LibHttpStream::Headers &more = {});
