#include <LibPeers/PeerClient.h>

#include <AK/StatusMacros.h>
#include <LibPeers/KeepAlive.h>
#include <LibPeers/MessageLimits.h>
#include <LibPeers/WireCodec.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace LibPeers
{

namespace
{

// A peer that does not acknowledge sent bytes for this long is considered unreachable.
constexpr unsigned tcpUserTimeoutMs = 1500;

void setStrings(capnp::List<capnp::Text>::Builder builder, const std::vector<std::string> &texts)
{
    for (capnp::uint i = 0; i < builder.size(); ++i) {
        builder.set(i, texts[i].c_str());
    }
}

capnp::Capability::Client serverInterface(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &rpc)
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(server);
}

std::string toBytes(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

} // namespace

/// A slot that another entry holds for a call of this one.
class PeerClient::RemoteSlot final : public HeldSlot
{
public:
    RemoteSlot(kj::Own<Connection> connection, PeerWire::Place::Client client)
        : connection(kj::mv(connection))
        , client(kj::mv(client))
    {
        ++this->connection->slots;
        this->connection->startKeepAlive();
    }

    ~RemoteSlot() noexcept(false) override
    {
        --this->connection->slots;
    }

    KJ_DISALLOW_COPY(RemoteSlot);

    void promptRead() override
    {
        // Not retried: when the connection is lost, the other entry has released the slot already.
        this->client.promptReadRequest().send().ignoreResult().detach([](kj::Exception &&exception) {
            const LibLog::Logger logger("places");
            logger.info("place_lost", {{"reason", std::string(LibFiber::toStatus(exception).message())}});
        });
    }

private:
    // Declared first, so that the remote slot is released while the connection is still open.
    kj::Own<Connection> connection;
    PeerWire::Place::Client client;
};

PeerClient::Connection::Connection(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> stream)
    : loop(loop)
    , stream(loop, kj::mv(stream))
    , network(this->stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions(maxResponseBytes))
    , rpc(capnp::makeRpcClient(this->network))
    , peer(serverInterface(this->rpc).castAs<PeerWire::FleetPeer>())
    , watch(this->network.onDisconnect().then([this] { this->ended = true; }).eagerlyEvaluate(nullptr))
{
    this->stream.setNetwork(this->network);
}

void PeerClient::Connection::startKeepAlive()
{
    if (!this->sendsKeepAlives) {
        this->sendsKeepAlives = true;
        this->keepAlive = kj::evalNow([this] { return this->sendKeepAlives(); }).eagerlyEvaluate([this](kj::Exception &&) {
            // The next request opens another connection; slots that are held over this one are released by their owner.
            this->sendsKeepAlives = false;
            this->ended = true;
        });
    }
}

kj::Promise<void> PeerClient::Connection::sendKeepAlives()
{
    auto request = this->peer.manifestRequest();
    request.setModel("");
    auto unanswered = this->loop.after(maxSilentIntervals * keepAliveInterval).then([]() -> kj::Promise<void> {
        return KJ_EXCEPTION(DISCONNECTED, "no response to a keep-alive");
    });
    return request.send()
        .ignoreResult()
        .exclusiveJoin(kj::mv(unanswered))
        .then([this] { return this->loop.after(keepAliveInterval); })
        .then([this]() -> kj::Promise<void> {
            if (this->slots == 0) {
                this->sendsKeepAlives = false;
                return kj::READY_NOW;
            }
            return this->sendKeepAlives();
        });
}

PeerClient::PeerClient(LibFiber::Loop &loop, AK::Endpoint address)
    : loop(loop)
    , target(std::move(address))
{
}

const AK::Endpoint &PeerClient::address() const
{
    return this->target;
}

absl::StatusOr<kj::Own<PeerClient::Connection>> PeerClient::connection(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    KJ_IF_MAYBE (open, this->current) {
        if (!(*open)->ended) {
            return kj::addRef(**open);
        }
        this->current = nullptr;
    }
    auto address = LibFiber::networkAddress(this->loop, this->target);
    if (!address.ok()) {
        return address.status();
    }
    auto stream = this->loop.await(scope, kj::evalNow([&] { return (*address)->connect(); }), deadline);
    if (!stream.ok()) {
        return stream.status();
    }
    kj::runCatchingExceptions([&] {
        const unsigned enabled = 1;
        (*stream)->setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        (*stream)->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
    });
    kj::Own<Connection> opened = kj::refcounted<Connection>(this->loop, kj::mv(*stream));
    this->current = kj::addRef(*opened);
    return opened;
}

void PeerClient::drop(Connection &failed)
{
    KJ_IF_MAYBE (open, this->current) {
        if (open->get() == &failed) {
            this->current = nullptr;
        }
    }
}

template <typename Prepare, typename Decode>
auto PeerClient::callOver(kj::WaitScope &scope, Connection &connection, AK::Milliseconds deadline, Prepare &&prepare, Decode &&decodeResponse)
{
    using Request = std::invoke_result_t<Prepare, PeerWire::FleetPeer::Client>;
    using Response = decltype(std::declval<Request &>().send().wait(scope));
    using Result = absl::StatusOr<std::invoke_result_t<Decode, Response &&>>;
    // A closed connection throws at once instead of failing the promise.
    kj::Maybe<kj::Promise<std::invoke_result_t<Decode, Response &&>>> sent;
    const auto failure = kj::runCatchingExceptions([&] {
        auto request = prepare(connection.peer);
        sent = request.send().then(std::forward<Decode>(decodeResponse));
    });
    KJ_IF_MAYBE (exception, failure) {
        this->drop(connection);
        return Result(LibFiber::toStatus(*exception));
    }
    Result result = this->loop.await(scope, kj::mv(KJ_ASSERT_NONNULL(sent)), deadline);
    if (!result.ok()) {
        this->drop(connection);
    }
    return result;
}

template <typename Prepare, typename Decode>
auto PeerClient::call(kj::WaitScope &scope, AK::Milliseconds deadline, Prepare &&prepare, Decode &&decodeResponse)
{
    using Request = std::invoke_result_t<Prepare, PeerWire::FleetPeer::Client>;
    using Response = decltype(std::declval<Request &>().send().wait(scope));
    using Result = absl::StatusOr<std::invoke_result_t<Decode, Response &&>>;
    auto open = this->connection(scope, deadline);
    if (!open.ok()) {
        return Result(open.status());
    }
    return this->callOver(scope, **open, deadline, std::forward<Prepare>(prepare), std::forward<Decode>(decodeResponse));
}

absl::StatusOr<NodeState> PeerClient::exchange(kj::WaitScope &scope, const NodeState &state, AK::Milliseconds deadline)
{
    return this->call(
        scope, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto request = peer.exchangeRequest();
            encode(state, request.initState());
            return request;
        },
        [](auto &&response) { return decode(response.getState()); });
}

absl::StatusOr<LibFleet::ObjectPage> PeerClient::objects(kj::WaitScope &scope, LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart,
                                                         AK::Milliseconds deadline)
{
    return this->call(
        scope, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto request = peer.objectsRequest();
            request.setKind(static_cast<uint16_t>(kind));
            request.setNewerThan(newerThan.revision);
            request.setNewerThanEra(newerThan.era);
            request.setAgentPart(agentPart);
            return request;
        },
        [](auto &&response) {
            LibFleet::ObjectPage page;
            page.position = {response.getRevision(), response.getEra()};
            requireRows(response.getObjects().size(), LibFleet::maxObjects);
            for (const auto object : response.getObjects()) {
                page.objects.push_back({std::string(object.getName().cStr()), toBytes(object.getSpec()), false, object.getLapsed(), object.getRevision(),
                                        object.getOutOfDate(), object.getLapsedLeftMs()});
            }
            return page;
        });
}

absl::StatusOr<std::string> PeerClient::manifest(kj::WaitScope &scope, const std::string &model, int64_t version, AK::Milliseconds deadline)
{
    return this->call(
        scope, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto request = peer.manifestRequest();
            request.setModel(model.c_str());
            request.setVersion(version);
            return request;
        },
        [](auto &&response) { return std::string(response.getText().cStr()); });
}

absl::StatusOr<std::string> PeerClient::heldChunks(kj::WaitScope &scope, const std::string &model, int64_t version, AK::Milliseconds deadline)
{
    return this->call(
        scope, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto request = peer.heldChunksRequest();
            request.setModel(model.c_str());
            request.setVersion(version);
            return request;
        },
        [](auto &&response) { return toBytes(response.getHeld()); });
}

absl::StatusOr<kj::Maybe<OfferedSlot>> PeerClient::requestSlot(kj::WaitScope &scope, const SlotRequest &request, AK::Milliseconds deadline)
{
    auto open = this->connection(scope, deadline);
    if (!open.ok()) {
        return open.status();
    }
    // Sent before the request, so that the owner knows of the keep-alives when it offers a slot.
    (*open)->startKeepAlive();
    return this->callOver(
        scope, **open, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto call = peer.placeRequest();
            auto wireRequest = call.initRequest();
            wireRequest.setService(request.service.c_str());
            wireRequest.setPromptTokens(request.promptTokens);
            wireRequest.setPriority(request.priority);
            wireRequest.setReturning(request.returning);
            wireRequest.setWaitMs(static_cast<uint32_t>(request.wait));
            wireRequest.setAccount(request.account.c_str());
            setStrings(wireRequest.initRegions(static_cast<capnp::uint>(request.regions.size())), request.regions);
            setStrings(wireRequest.initExcluded(static_cast<capnp::uint>(request.excluded.size())), request.excluded);
            return call;
        },
        [connection = kj::addRef(**open)](auto &&response) mutable -> kj::Maybe<OfferedSlot> {
            std::string upstream = response.getUpstream().cStr();
            if (upstream.empty()) {
                return nullptr;
            }
            return OfferedSlot{std::move(upstream), kj::heap<RemoteSlot>(kj::mv(connection), response.getPlace()), response.getWeightsVersion()};
        });
}

absl::StatusOr<std::string> PeerClient::chunk(kj::WaitScope &scope, const std::string &model, int64_t version, uint32_t index, AK::Milliseconds deadline)
{
    return this->call(
        scope, deadline,
        [&](PeerWire::FleetPeer::Client peer) {
            auto request = peer.chunkRequest();
            request.setModel(model.c_str());
            request.setVersion(version);
            request.setIndex(index);
            return request;
        },
        [](auto &&response) { return toBytes(response.getData()); });
}

} // namespace LibPeers
