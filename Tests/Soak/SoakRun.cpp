#include "SoakRun.h"
#include "Client.h"

#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>
#include <kj/debug.h>

namespace Soak
{

namespace
{

constexpr uint16_t storePort = 8'007;
constexpr uint16_t upstreamPort = 8'080;
constexpr uint16_t behindLinkPort = 8'081;
constexpr int storeHost = 1;
constexpr int strangerHost = 2;
constexpr int firstUpstreamHost = 3;
constexpr int upstreamsPerService = 4;
constexpr AK::Milliseconds startLimit = 30'000;
// Longest time of a call, after which each client has ended.
constexpr AK::Milliseconds lastCallTime = 6'500;

// One program with its stand-ins.
class Site
{
public:
    explicit Site(const RunSettings &settings);

    RunResult run();

private:
    std::vector<AK::Endpoint> storeEndpoints() const;
    void addUpstreams();
    /// A server that answers each request with a success and is no upstream.
    void serveStranger();
    /// Notes the times in which this program was held up, which excuse what it saw late.
    void watchOwnLag(kj::WaitScope &scope);
    void refreshRegistrations(kj::WaitScope &scope);

    const RunSettings &settings;
    AK::Random random;
    LibFiber::Loop loop;
    History history;
    Loopback::LoopbackNetwork network;
    FakeStore store;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    Operator administrator;
    EntryFleet entries;
    FaultPlan plan;
    std::vector<std::unique_ptr<Client>> clients;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

Site::Site(const RunSettings &settings)
    : settings(settings)
    , random(settings.seed)
    , network(static_cast<int>(settings.seed % 1'000))
    , store(this->loop, this->storeEndpoints())
    , administrator(this->loop.clock(), this->history, this->store, this->random())
    , entries(this->loop, this->history, this->network, {settings.daemon, settings.folder, settings.entries, this->storeEndpoints()})
    , plan(this->loop, this->history,
           {this->entries, this->store, this->administrator, this->upstreams, {this->network.hostAddress(strangerHost), upstreamPort}, settings.without},
           this->random())
{
    this->addUpstreams();
    this->serveStranger();
    const size_t count = settings.entries * settings.clientsPerEntry;
    for (size_t i = 0; i < count; ++i) {
        this->clients.push_back(std::make_unique<Client>(this->loop, this->history, this->entries, this->random()));
    }
}

std::vector<AK::Endpoint> Site::storeEndpoints() const
{
    std::vector<AK::Endpoint> endpoints;
    for (size_t i = 0; i < this->settings.entries; ++i) {
        endpoints.push_back({this->network.hostAddress(storeHost), static_cast<uint16_t>(storePort + i)});
    }
    return endpoints;
}

void Site::addUpstreams()
{
    int host = firstUpstreamHost;
    for (const char *service : {"plain-a", "plain-b", "streams"}) {
        for (int i = 0; i < upstreamsPerService; ++i) {
            const std::string address = this->network.hostAddress(host++);
            const Upstream::Place place{service, i % 2 == 0 ? "lima-1" : "lima-2", {address, upstreamPort}, {address, behindLinkPort}};
            this->upstreams.push_back(std::make_unique<Upstream>(this->loop, this->history, this->store, place, this->random()));
            this->upstreams.back()->start();
        }
    }
}

void Site::serveStranger()
{
    auto listener = LibFiber::listenOn(this->loop, {this->network.hostAddress(strangerHost), upstreamPort});
    KJ_ASSERT(listener.ok());
    LibFiber::acceptEach(this->loop, kj::mv(*listener), [this](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        constexpr size_t maxHead = 65'536;
        LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
        const auto text = LibHttpStream::readHeadText(channel, scope, maxHead, this->loop.clock().now() + 1'000);
        if (text.ok()) {
            this->history.seen.push_back(AK::concat("ROUTE: a server named by an odd entry got a request: ", text->substr(0, text->find('\r'))));
            (void)channel.write(scope, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage", this->loop.clock().now() + 1'000);
        }
    });
}

void Site::watchOwnLag(kj::WaitScope &scope)
{
    constexpr AK::Milliseconds interval = 50;
    constexpr AK::Milliseconds tolerated = 150;
    while (true) {
        const AK::Milliseconds before = this->loop.clock().now();
        this->loop.sleep(scope, interval);
        const AK::Milliseconds now = this->loop.clock().now();
        if (now - before > interval + tolerated) {
            ++this->history.faults["own_lag"];
            this->history.impaired.push_back({before, now});
            for (EntryHistory &entry : this->history.entries) {
                entry.cut.push_back({before, now});
            }
        }
    }
}

void Site::refreshRegistrations(kj::WaitScope &scope)
{
    constexpr AK::Milliseconds heartbeat = 1'200;
    while (true) {
        this->loop.sleep(scope, heartbeat);
        for (const std::unique_ptr<Upstream> &upstream : this->upstreams) {
            upstream->refreshRegistration();
        }
    }
}

RunResult Site::run()
{
    kj::WaitScope &scope = this->loop.rootScope();
    this->entries.startAll();
    if (!this->entries.awaitReady(scope, startLimit)) {
        return {"an entry was not ready in time", {}, {}};
    }
    this->loop.spawn([this](kj::WaitScope &inner) { this->entries.watch(inner); });
    this->loop.spawn([this](kj::WaitScope &inner) { this->watchOwnLag(inner); });
    this->loop.spawn([this](kj::WaitScope &inner) { this->refreshRegistrations(inner); });
    bool stopping = false;
    for (const std::unique_ptr<Client> &client : this->clients) {
        this->loop.spawn([&client, &stopping](kj::WaitScope &inner) { client->run(inner, stopping); });
    }
    constexpr AK::Milliseconds settledTime = 3'000;
    const AK::Milliseconds end = this->loop.clock().now() + this->settings.duration;
    if (this->settings.faults) {
        this->loop.fiber([&](kj::WaitScope &inner) { this->plan.run(inner, end - FaultPlan::settleTime - settledTime); }).wait(scope);
    }
    this->loop.sleep(scope, end - this->loop.clock().now());
    stopping = true;
    this->loop.sleep(scope, lastCallTime);
    const SettledTime settled{end - settledTime, end};
    std::vector<Finding> findings = checkPromises(this->history, settled);
    return {"", std::move(findings), std::move(this->history)};
}

} // namespace

RunResult runSoak(const RunSettings &settings)
{
    return Site(settings).run();
}

} // namespace Soak
