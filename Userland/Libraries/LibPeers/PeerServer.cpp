#include <LibPeers/PeerServer.h>

#include <LibFiber/SocketOptions.h>
#include <LibPeers/BackpressureStream.h>
#include <LibPeers/KeepAlive.h>
#include <LibPeers/MessageLimits.h>
#include <LibPeers/WireCodec.h>
#include <LibPeers/generated/peers.capnp.h>
#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

namespace LibPeers
{

namespace
{

capnp::Data::Reader asData(const std::string &bytes)
{
    return {reinterpret_cast<const capnp::byte *>(bytes.data()), bytes.size()};
}

/// What is known of the caller at the other end of a connection.
struct CallerState {
    /// Slots that it holds over the connection.
    int slots = 0;
    /// It has sent keep-alives. One that sends none, as earlier builds do, is not expected to.
    bool keepsAlive = false;
    /// Checks since a call has arrived. Checks are counted instead of time, so that a pause of this process does not count against the caller.
    int silentChecks = 0;
    /// Responses with chunks that wait for upload bandwidth. They count as unread, because they join the queue of outgoing messages whether it is read or not.
    size_t waitingChunks = 0;
    /// Its connection; set while calls can arrive over it.
    capnp::TwoPartyVatNetwork *network = nullptr;
    /// Fulfilled when the connection must be closed, because it doesn't read the responses to its calls.
    kj::Own<kj::PromiseFulfiller<void>> overrun;

    bool isOverrun() const
    {
        return this->network->getCurrentQueueSize() > maxUnreadBytes || this->network->getCurrentQueueCount() + this->waitingChunks > maxUnreadResponses;
    }
};

class SlotImplementation final : public PeerWire::Place::Server
{
public:
    SlotImplementation(kj::Own<HeldSlot> slot, std::shared_ptr<CallerState> caller)
        : slot(kj::mv(slot))
        , caller(std::move(caller))
    {
        ++this->caller->slots;
    }

    ~SlotImplementation() noexcept(false)
    {
        --this->caller->slots;
    }

    KJ_DISALLOW_COPY(SlotImplementation);

    kj::Promise<void> promptRead(PromptReadContext /*context*/) override
    {
        this->caller->silentChecks = 0;
        this->slot->promptRead();
        return kj::READY_NOW;
    }

private:
    kj::Own<HeldSlot> slot;
    std::shared_ptr<CallerState> caller;
};

std::vector<std::string> toStrings(capnp::List<capnp::Text>::Reader list)
{
    std::vector<std::string> result;
    for (const auto text : list) {
        result.emplace_back(text.cStr());
    }
    return result;
}

class FleetPeerImplementation final : public PeerWire::FleetPeer::Server
{
public:
    FleetPeerImplementation(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots, std::shared_ptr<CallerState> caller)
        : loop(loop)
        , handler(handler)
        , chunks(chunks)
        , slots(slots)
        , caller(std::move(caller))
    {
    }

    DispatchCallResult dispatchCall(uint64_t interfaceId, uint16_t methodId, capnp::CallContext<capnp::AnyPointer, capnp::AnyPointer> context) override
    {
        if (this->caller->isOverrun()) {
            this->caller->overrun->fulfill();
            return {KJ_EXCEPTION(OVERLOADED, "too many responses have not been read"), false};
        }
        return PeerWire::FleetPeer::Server::dispatchCall(interfaceId, methodId, context);
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        this->caller->silentChecks = 0;
        encode(this->handler.exchange(decode(context.getParams().getState())), context.getResults().initState());
        return kj::READY_NOW;
    }

    kj::Promise<void> objects(ObjectsContext context) override
    {
        const auto params = context.getParams();
        if (params.getKind() >= LibFleet::objectKindCount) {
            return KJ_EXCEPTION(FAILED, "unknown kind of object", params.getKind());
        }
        const LibFleet::ObjectPage page = this->handler.objects(static_cast<LibFleet::ObjectKind>(params.getKind()),
                                                                {params.getNewerThan(), params.getNewerThanEra()}, params.getAgentPart());
        auto results = context.getResults();
        results.setRevision(page.position.revision);
        results.setEra(page.position.era);
        auto objects = results.initObjects(static_cast<capnp::uint>(page.objects.size()));
        for (capnp::uint i = 0; i < objects.size(); ++i) {
            objects[i].setName(page.objects[i].name.c_str());
            objects[i].setSpec(asData(page.objects[i].spec));
            objects[i].setLapsed(page.objects[i].lapsed);
            objects[i].setLapsedLeftMs(static_cast<uint32_t>(std::clamp<AK::Milliseconds>(page.objects[i].graceLeft, 0, UINT32_MAX)));
            objects[i].setRevision(page.objects[i].revision);
            objects[i].setOutOfDate(page.objects[i].outOfDate);
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> manifest(ManifestContext context) override
    {
        this->caller->silentChecks = 0;
        if (context.getParams().getModel().size() == 0) {
            this->caller->keepsAlive = true;
            return kj::READY_NOW;
        }
        if (this->chunks != nullptr) {
            const auto params = context.getParams();
            context.getResults().setText(this->chunks->manifest(params.getModel().cStr(), params.getVersion()).c_str());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> heldChunks(HeldChunksContext context) override
    {
        if (this->chunks != nullptr) {
            const auto params = context.getParams();
            context.getResults().setHeld(asData(this->chunks->heldChunks(params.getModel().cStr(), params.getVersion())));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> chunk(ChunkContext context) override
    {
        if (this->chunks == nullptr) {
            return kj::READY_NOW;
        }
        const auto params = context.getParams();
        const auto read = [chunks = this->chunks, model = std::string(params.getModel().cStr()), version = params.getVersion(), index = params.getIndex()] {
            return chunks->chunk(model, version, index);
        };
        const std::string data = read();
        const std::optional<AK::Milliseconds> wait = data.empty() ? std::nullopt : this->chunks->reserveUpload(data.size());
        if (!wait) {
            return kj::READY_NOW;
        }
        ++this->caller->waitingChunks;
        // Read again after the wait: the version may have been dropped for a newer one meanwhile, and the link is that one's then.
        return this->loop.after(*wait)
            .then([context, read]() mutable { context.getResults().setData(asData(read())); })
            .attach(kj::defer([caller = this->caller] { --caller->waitingChunks; }));
    }

    kj::Promise<void> place(PlaceContext context) override
    {
        this->caller->silentChecks = 0;
        if (this->slots == nullptr) {
            return kj::READY_NOW;
        }
        const auto wireRequest = context.getParams().getRequest();
        SlotRequest request{
            std::string(wireRequest.getService().cStr()), wireRequest.getPromptTokens(),        wireRequest.getPriority(), wireRequest.getReturning(),
            toStrings(wireRequest.getRegions()),          toStrings(wireRequest.getExcluded()), wireRequest.getWaitMs(),   wireRequest.getAccount().cStr()};
        // A waiting request ends with its connection, or when the caller has got another slot.
        context.allowCancellation();
        return this->slots->awaitSlot(request).then([context, caller = this->caller](kj::Maybe<OfferedSlot> offered) mutable {
            KJ_IF_MAYBE (offer, offered) {
                context.getResults().setUpstream(offer->upstream.c_str());
                context.getResults().setWeightsVersion(offer->weightsVersion);
                context.getResults().setPlace(kj::heap<SlotImplementation>(kj::mv(offer->slot), caller));
            }
        });
    }

private:
    LibFiber::Loop &loop;
    PeerHandler &handler;
    ChunkProvider *chunks;
    SlotProvider *slots;
    std::shared_ptr<CallerState> caller;
};

} // namespace

struct PeerServer::Connection {
    Connection(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> accepted, kj::Own<FleetPeerImplementation> implementation, std::shared_ptr<CallerState> caller,
               const std::function<void()> &closeEnded)
        : caller(std::move(caller))
        , stream(loop, kj::mv(accepted))
        , network(this->stream, capnp::rpc::twoparty::Side::SERVER, readerOptions(maxRequestBytes))
        , rpc(capnp::makeRpcServer(this->network, kj::mv(implementation)))
        , watch(this->network.onDisconnect().then([this] { this->ended = true; }).eagerlyEvaluate(nullptr))
    {
        this->stream.setNetwork(this->network);
        auto paf = kj::newPromiseAndFulfiller<void>();
        this->caller->network = &this->network;
        this->caller->overrun = kj::mv(paf.fulfiller);
        this->overrun = paf.promise
                            .then([this, closeEnded] {
                                this->ended = true;
                                closeEnded();
                            })
                            .eagerlyEvaluate(nullptr);
    }

    bool isSilent() const
    {
        return this->caller->keepsAlive && this->caller->slots > 0 && this->caller->silentChecks >= maxSilentIntervals;
    }

    std::shared_ptr<CallerState> caller;
    BackpressureStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    bool ended = false;
    kj::Promise<void> watch;
    kj::Promise<void> overrun = nullptr;
};

PeerServer::PeerServer(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots)
    : loop(loop)
    , handler(handler)
    , chunks(chunks)
    , slots(slots)
{
}

PeerServer::~PeerServer() = default;

absl::Status PeerServer::listen(const AK::Endpoint &address)
{
    auto receiver = LibFiber::listenOn(this->loop, address);
    if (!receiver.ok()) {
        return receiver.status();
    }
    this->loop.spawn([this, listener = kj::mv(*receiver)](kj::WaitScope &scope) mutable { this->accept(*listener, scope); });
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            this->loop.sleep(scope, keepAliveInterval);
            this->closeLostConnections();
        }
    });
    return absl::OkStatus();
}

void PeerServer::accept(kj::ConnectionReceiver &receiver, kj::WaitScope &scope)
{
    while (true) {
        kj::Own<kj::AsyncIoStream> stream = receiver.accept().wait(scope);
        LibFiber::setLossDetection(*stream);
        auto caller = std::make_shared<CallerState>();
        auto implementation = kj::heap<FleetPeerImplementation>(this->loop, this->handler, this->chunks, this->slots, caller);
        // In a fiber of its own, because it destroys the connection that asks for it.
        const auto closeEnded = [this] {
            this->loop.spawn([this](kj::WaitScope &) { this->closeEndedConnections(); });
        };
        this->connections.push_back(kj::heap<Connection>(this->loop, kj::mv(stream), kj::mv(implementation), std::move(caller), closeEnded));
    }
}

void PeerServer::closeEndedConnections()
{
    std::list<kj::Own<Connection>> closed;
    for (auto it = this->connections.begin(); it != this->connections.end();) {
        const auto next = std::next(it);
        if ((*it)->ended) {
            closed.splice(closed.end(), this->connections, it);
        }
        it = next;
    }
}

void PeerServer::closeLostConnections()
{
    // Closed after the list is in order again, because a released slot may be granted at once.
    std::list<kj::Own<Connection>> lost;
    for (auto it = this->connections.begin(); it != this->connections.end();) {
        Connection &connection = **it;
        ++connection.caller->silentChecks;
        const auto next = std::next(it);
        if (connection.ended || connection.isSilent()) {
            if (!connection.ended) {
                this->logger.info("places_taken_back", {{"places", connection.caller->slots}, {"silent_ms", maxSilentIntervals * keepAliveInterval}});
            }
            lost.splice(lost.end(), this->connections, it);
        }
        it = next;
    }
}

} // namespace LibPeers
