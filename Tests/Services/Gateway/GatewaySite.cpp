#include "GatewaySite.h"

#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <Loopback/ProcessHost.h>
#include <kj/debug.h>

namespace
{

uint16_t nextPort()
{
    static uint16_t port = 22'000;
    return ++port;
}

constexpr AK::Milliseconds testTimeout = 5'000;

Gateway::DispatchSettings dispatchSettings()
{
    Gateway::DispatchSettings settings;
    settings.upstreams.name = "e1";
    settings.upstreams.region = "lima";
    return settings;
}

} // namespace

FakeUpstream::FakeUpstream(LibFiber::Loop &loop, uint16_t port, UpstreamScript script)
    : loop(loop)
    , port(port)
    , script(std::move(script))
{
    this->listen();
}

void FakeUpstream::listen()
{
    auto receiver = LibFiber::listenOn(this->loop, {Loopback::processHost(), this->port});
    KJ_ASSERT(receiver.ok(), std::string(receiver.status().message()).c_str());
    this->down = false;
    this->accepting = this->loop
                          .fiber([this, listener = kj::mv(*receiver)](kj::WaitScope &scope) mutable {
                              while (true) {
                                  kj::Own<kj::AsyncIoStream> accepted = listener->accept().wait(scope);
                                  ++this->connections;
                                  this->servingConnections.push_back(
                                      this->loop.fiber([this, stream = kj::mv(accepted)](kj::WaitScope &inner) mutable { this->serve(inner, kj::mv(stream)); })
                                          .eagerlyEvaluate(nullptr));
                              }
                          })
                          .eagerlyEvaluate(nullptr);
}

void FakeUpstream::crash(AK::Milliseconds downFor, std::function<void()> restarted)
{
    this->down = true;
    // A separate fiber, because the fibers that end may include the caller's.
    this->loop.spawn([this, downFor, restarted = std::move(restarted)](kj::WaitScope &scope) {
        this->accepting = nullptr;
        this->servingConnections.clear();
        this->loop.sleep(scope, downFor);
        this->listen();
        restarted();
    });
}

bool FakeUpstream::isDown() const
{
    return this->down;
}

void FakeUpstream::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream)
{
    LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
    ++this->openConnections;
    KJ_DEFER(--this->openConnections);
    while (true) {
        const auto text = LibHttpStream::readHeadText(channel, scope, 65536, this->loop.clock().now() + testTimeout);
        if (!text.ok()) {
            return;
        }
        const auto head = LibHttpStream::parseRequestHead(*text);
        KJ_ASSERT(head.ok());
        const bool early = this->respondsEarly;
        if (early && !this->script(scope, channel, *head, "")) {
            return;
        }
        LibHttpStream::BodyReader reader(channel, *LibHttpStream::requestBodyFraming(head->headers));
        const auto body = LibHttpStream::readBody(reader, scope, 1 << 20, this->loop.clock().now() + testTimeout);
        if (!body.ok()) {
            return;
        }
        this->requests.push_back(*head);
        this->bodies.push_back(*body);
        if (!early && !this->script(scope, channel, *head, *body)) {
            this->abandonedRequests += channel.ended() ? 1 : 0;
            return;
        }
    }
}

GatewaySite::GatewaySite(const std::vector<UpstreamScript> &scripts)
    : fleet(loop.clock())
    , dispatcher(loop, fleet, dispatchSettings(), nullptr)
    , connections(loop, fleet)
    , crashes(loop, metrics)
    , quarantine(loop.clock(), fleet)
    , bodyMemory(siteBodyMemory)
    , loopWatch(loop, metrics)
    , address{Loopback::processHost(), nextPort()}
    , gateway({loop, fleet, codec, dispatcher, connections, crashes, quarantine, metrics, bodyMemory, loopWatch}, address)
{
    this->dispatcher.setRegions({{"lima-1", "lima"}});
    this->dispatcher.setEntries({{"e1", "lima-1"}});
    this->crashes.onCrash([this](const LibGateway::Crash &crash) { this->quarantine.recordCrash(crash); });
    std::map<std::string, LibFleet::UpstreamRecord> records;
    for (const UpstreamScript &script : scripts) {
        const uint16_t port = nextPort();
        this->upstreams.push_back(std::make_unique<FakeUpstream>(this->loop, port, script));
        const std::string id = AK::concat("i-", this->upstreams.size());
        LibFleet::UpstreamRecord record;
        record.id = id;
        record.service = "s";
        record.address = {Loopback::processHost(), port};
        record.failureDomain = "lima-1";
        record.slots = 4;
        records[id] = record;
        this->upstreamAddresses.push_back(record.address);
    }
    this->fleet.setUpstreams(records);
    KJ_ASSERT(this->gateway.start().ok());
}

void GatewaySite::configure(LibFleet::RouteKind kind, bool resumable, int maxAttempts, AK::Milliseconds timeout)
{
    LibFleet::Configuration configuration;
    configuration.version = 1;
    LibFleet::Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/r/";
    route.kind = kind;
    route.resumable = resumable;
    route.maxAttempts = maxAttempts;
    route.timeout = timeout;
    route.targetLatency = 400;
    route.services = {{"s", 1}};
    configuration.routes.push_back(route);
    LibFleet::ServiceSpec service;
    service.name = "s";
    configuration.services["s"] = service;
    configuration.hasAccounts = true;
    auto account = std::make_shared<LibFleet::ClientAccount>();
    account->name = "acc";
    configuration.accountsByKey["k"] = account;
    this->fleet.setConfiguration(configuration);
}

void GatewaySite::setClientGapLimit(AK::Milliseconds limit)
{
    LibFleet::Configuration configuration = *this->fleet.configuration();
    ++configuration.version;
    configuration.routes.front().clientGapLimit = limit;
    this->fleet.setConfiguration(configuration);
}

void GatewaySite::crashUpstream(size_t index, AK::Milliseconds downFor)
{
    this->upstreams[index]->crash(downFor, [this, index] {
        std::map<std::string, LibFleet::UpstreamRecord> records = this->fleet.upstreams();
        for (auto it = records.begin(); it != records.end(); ++it) {
            if (it->second.address == this->upstreamAddresses[index]) {
                LibFleet::UpstreamRecord restarted = it->second;
                restarted.id += "+";
                records.erase(it);
                records[restarted.id] = restarted;
                break;
            }
        }
        this->fleet.setUpstreams(records);
    });
}

ClientResponse GatewaySite::call(const LibHttpStream::Headers &headers, const std::string &path, const std::string &body)
{
    return this->callFrom(this->loop.rootScope(), headers, path, body);
}

ClientResponse GatewaySite::callFrom(kj::WaitScope &scope, const LibHttpStream::Headers &headers, const std::string &path, const std::string &body)
{
    const AK::Milliseconds deadline = this->loop.clock().now() + testTimeout;
    auto channel = LibFiber::ByteChannel::connect(this->loop, scope, this->address, deadline);
    KJ_ASSERT(channel.ok());
    LibHttpStream::RequestHead head{"POST", path, {{"Host", "h"}}};
    for (const auto &header : headers) {
        head.headers.push_back(header);
    }
    for (const LibHttpStream::Header &usual : LibHttpStream::Headers{{"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "2000"}, {"X-Api-Key", "k"}}) {
        if (LibHttpStream::findHeader(headers, usual.name) == nullptr) {
            head.headers.push_back(usual);
        }
    }
    head.headers.push_back({"Content-Length", std::to_string(body.size())});
    KJ_ASSERT((*channel)->write(scope, LibHttpStream::serializeRequestHead(head) + body, deadline).ok());
    ClientResponse result;
    const auto text = LibHttpStream::readHeadText(**channel, scope, 65536, deadline);
    if (!text.ok()) {
        return result;
    }
    const auto response = LibHttpStream::parseResponseHead(*text);
    KJ_ASSERT(response.ok());
    result.status = response->status;
    result.headers = response->headers;
    LibHttpStream::BodyReader reader(**channel, *LibHttpStream::responseBodyFraming("POST", *response));
    while (true) {
        const auto data = reader.next(scope, deadline);
        if (!data.ok()) {
            result.bodyError = data.status();
            return result;
        }
        if (!*data) {
            result.complete = true;
            return result;
        }
        result.body += **data;
    }
}

std::list<kj::Own<Gateway::Grant>> holdAllSlots(GatewaySite &site)
{
    std::list<kj::Own<Gateway::Grant>> held;
    while (true) {
        Gateway::CallRequirements requirements;
        requirements.service = "s";
        requirements.arrivedAt = site.loop.clock().now();
        requirements.startBy = requirements.arrivedAt;
        Gateway::GrantOrRefusal result = site.dispatcher.acquire(site.loop.rootScope(), requirements);
        KJ_IF_MAYBE (grant, result.grant) {
            held.push_back(kj::mv(*grant));
        } else {
            return held;
        }
    }
}

void writeResponse(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibFiber::Loop &loop, const std::string &id, int status, const std::string &body,
                   size_t declaredLength, const LibHttpStream::Headers &moreHeaders)
{
    LibHttpStream::ResponseHead head{status, "OK", {{"X-Attempt-Id", id}, {"X-Server-Seal", "seal"}, {"Content-Length", std::to_string(declaredLength)}}};
    for (const auto &header : moreHeaders) {
        head.headers.push_back(header);
    }
    const absl::Status written = channel.write(scope, LibHttpStream::serializeResponseHead(head) + body, loop.clock().now() + testTimeout);
    KJ_ASSERT(written.ok());
}
