#include <LibPeers/PeerServer.h>

#include <LibPeers/WireCodec.h>
#include <kj/debug.h>

namespace LibPeers
{

namespace
{

capnp::Data::Reader asData(const std::string &bytes)
{
    return {reinterpret_cast<const capnp::byte *>(bytes.data()), bytes.size()};
}

class SlotImplementation final : public PeerWire::Place::Server
{
public:
    explicit SlotImplementation(kj::Own<HeldSlot> slot)
        : slot(kj::mv(slot))
    {
    }

    kj::Promise<void> promptRead(PromptReadContext /*context*/) override
    {
        this->slot->promptRead();
        return kj::READY_NOW;
    }

private:
    kj::Own<HeldSlot> slot;
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
    FleetPeerImplementation(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots)
        : loop(loop)
        , handler(handler)
        , chunks(chunks)
        , slots(slots)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
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
            objects[i].setRevision(page.objects[i].revision);
            objects[i].setOutOfDate(page.objects[i].outOfDate);
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> manifest(ManifestContext context) override
    {
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
        std::string data = this->chunks->chunk(params.getModel().cStr(), params.getVersion(), params.getIndex());
        const std::optional<AK::Milliseconds> wait = data.empty() ? std::nullopt : this->chunks->reserveUpload(data.size());
        if (!wait) {
            return kj::READY_NOW;
        }
        return this->loop.after(*wait).then([context, held = std::move(data)]() mutable { context.getResults().setData(asData(held)); });
    }

    kj::Promise<void> place(PlaceContext context) override
    {
        if (this->slots == nullptr) {
            return kj::READY_NOW;
        }
        const auto wireRequest = context.getParams().getRequest();
        SlotRequest request{
            std::string(wireRequest.getService().cStr()), wireRequest.getPromptTokens(),       wireRequest.getPriority(), wireRequest.getReturning(),
            toStrings(wireRequest.getRegions()),          toStrings(wireRequest.getExcluded())};
        auto offered = this->slots->offerSlot(request);
        KJ_IF_MAYBE (offer, offered) {
            context.getResults().setUpstream(offer->upstream.c_str());
            context.getResults().setWeightsVersion(offer->weightsVersion);
            context.getResults().setPlace(kj::heap<SlotImplementation>(kj::mv(offer->slot)));
        }
        return kj::READY_NOW;
    }

private:
    LibFiber::Loop &loop;
    PeerHandler &handler;
    ChunkProvider *chunks;
    SlotProvider *slots;
};

} // namespace

PeerServer::PeerServer(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots)
    : loop(loop)
    , server(kj::heap<FleetPeerImplementation>(loop, handler, chunks, slots))
{
}

absl::Status PeerServer::listen(const AK::Endpoint &address)
{
    auto receiver = LibFiber::listenOn(this->loop, address);
    if (!receiver.ok()) {
        return receiver.status();
    }
    this->loop.spawn([this, listener = kj::mv(*receiver)](kj::WaitScope &scope) mutable { this->server.listen(*listener).wait(scope); });
    return absl::OkStatus();
}

} // namespace LibPeers
