#include <LibWire/RpcServer.h>

#include <AK/Text.h>
#include <LibWire/EventLoop.h>
#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace LibWire
{

namespace
{

constexpr int listenBacklog = 512;
// Handlers keep buffers of several KiB on the stack.
constexpr size_t fiberStackBytes = size_t{256} << 10;
// Larger messages are refused before they are decoded. A chunk is at most 4 MiB and a configuration 1 MiB.
constexpr uint64_t messageLimitWords = (uint64_t{16} << 20) / sizeof(capnp::word);

class NodeImplementation final : public Wire::Node::Server
{
public:
    explicit NodeImplementation(const NodeHandlers &handlers)
        : handlers(handlers)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        KJ_REQUIRE(this->handlers.membership != nullptr, "exchange is not offered by this process");
        this->handlers.membership->exchange(context.getParams().getRequest(), context.getResults().initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> offerRevision(OfferRevisionContext context) override
    {
        KJ_REQUIRE(this->handlers.revision != nullptr, "offerRevision is not offered by this process");
        const auto document = context.getParams().getDocument().asChars();
        const uint64_t inForce = this->handlers.revision->offerRevision(context.getParams().getRevision(), {document.begin(), document.size()});
        context.getResults().setRevision(inForce);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchRevision(FetchRevisionContext context) override
    {
        KJ_REQUIRE(this->handlers.revision != nullptr, "fetchRevision is not offered by this process");
        const auto [revision, document] = this->handlers.revision->fetchRevision();
        auto results = context.getResults();
        results.setRevision(revision);
        results.setDocument({reinterpret_cast<const kj::byte *>(document.data()), document.size()});
        return kj::READY_NOW;
    }

    kj::Promise<void> call(CallContext context) override
    {
        KJ_REQUIRE(this->handlers.call != nullptr, "call is not offered by this process");
        return kj::startFiber(fiberStackBytes, [this, context](kj::WaitScope &scope) mutable {
            auto params = context.getParams();
            this->handlers.call->call(params.getRequest(), params.getSink(), context.getResults().initReply(), scope);
        });
    }

    kj::Promise<void> chunkMap(ChunkMapContext context) override
    {
        KJ_REQUIRE(this->handlers.chunk != nullptr, "chunkMap is not offered by this process");
        auto params = context.getParams();
        this->handlers.chunk->chunkMap(params.getRoot().cStr(), params.getWantManifest(), context.getResults());
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchChunk(FetchChunkContext context) override
    {
        KJ_REQUIRE(this->handlers.chunk != nullptr, "fetchChunk is not offered by this process");
        return kj::startFiber(fiberStackBytes, [this, context](kj::WaitScope &scope) mutable {
            auto params = context.getParams();
            this->handlers.chunk->fetchChunk(params.getRoot().cStr(), params.getIndex(), context.getResults(), scope);
        });
    }

private:
    const NodeHandlers &handlers;
};

class DoorImplementation final : public Wire::Door::Server
{
public:
    DoorImplementation(KeyRing &keys, const AK::Endpoint &self, const NodeHandlers &handlers, std::function<void(const absl::Status &)> onRefused)
        : keys(keys)
        , self(self)
        , handlers(handlers)
        , onRefused(std::move(onRefused))
    {
    }

    kj::Promise<void> login(LoginContext context) override
    {
        const auto credential = context.getParams().getCredential();
        const LoginProof proof{credential.getKeyId().cStr(), credential.getProcess().cStr(), credential.getTimeMs(), credential.getNonce().cStr(),
                               credential.getMac().cStr()};
        if (const absl::Status status = this->keys.verify(proof, this->self); !status.ok()) {
            this->onRefused(status);
            KJ_FAIL_REQUIRE("login refused", std::string(status.message()).c_str());
        }
        context.getResults().setNode(kj::heap<NodeImplementation>(this->handlers));
        return kj::READY_NOW;
    }

private:
    KeyRing &keys;
    const AK::Endpoint &self;
    const NodeHandlers &handlers;
    std::function<void(const absl::Status &)> onRefused;
};

} // namespace

RpcServer::RpcServer(AK::Endpoint endpoint, std::shared_ptr<KeyRing> keys, NodeHandlers handlers, size_t maxConnections,
                     std::shared_ptr<TrafficCounter> traffic)
    : endpoint(std::move(endpoint))
    , keys(std::move(keys))
    , handlers(handlers)
    , maxConnections(maxConnections)
    , traffic(std::move(traffic))
{
}

RpcServer::~RpcServer()
{
    this->stop();
}

std::string_view RpcServer::name() const
{
    return "rpc";
}

absl::Status RpcServer::start()
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->endpoint.port);
    inet_pton(AF_INET, this->endpoint.host.c_str(), &address.sin_addr);
    if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, listenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(this->listener);
        this->listener = -1;
        return absl::UnavailableError(AK::concat("cannot listen on rpc address ", this->endpoint.text(), ": ", reason));
    }
    this->acceptor = std::thread([this] { this->acceptLoop(); });
    return absl::OkStatus();
}

void RpcServer::acceptLoop()
{
    while (!this->stopping) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                // Without a pause the loop would spin until a file descriptor is free.
                ::usleep(10'000);
            }
            continue;
        }
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        this->reapFinished();
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->connections.size() >= this->maxConnections) {
            this->logger.warning("connection_refused", {{"reason", "too many connections"}, {"limit", this->maxConnections}});
            ::close(socket);
            continue;
        }
        Connection &connection = this->connections.emplace_back();
        connection.socket = socket;
        if (this->traffic) {
            this->traffic->addSocket(socket);
        }
        connection.thread = std::thread([this, &connection] { this->serve(connection); });
    }
}

void RpcServer::serve(Connection &connection)
{
    try {
        auto &loop = threadEventLoop();
        auto stream = loop.lowLevelProvider->wrapSocketFd(connection.socket);
        capnp::ReaderOptions options;
        options.traversalLimitInWords = messageLimitWords;
        capnp::TwoPartyVatNetwork network(*stream, capnp::rpc::twoparty::Side::SERVER, options);
        Wire::Door::Client door = kj::heap<DoorImplementation>(*this->keys, this->endpoint, this->handlers, [this](const absl::Status &status) {
            ++this->loginsRefused;
            this->logger.warning("login_refused", {{"reason", std::string(status.message())}});
        });
        auto system = capnp::makeRpcServer(network, kj::mv(door));
        network.onDisconnect().wait(loop.waitScope);
    } catch (const kj::Exception &exception) {
        this->logger.debug("connection_failed", {{"reason", describeException(exception)}});
    }
    connection.finished = true;
}

void RpcServer::reapFinished()
{
    const std::lock_guard lock(this->mutex);
    for (auto connection = this->connections.begin(); connection != this->connections.end();) {
        if (connection->finished) {
            this->close(*connection);
            connection = this->connections.erase(connection);
        } else {
            ++connection;
        }
    }
}

void RpcServer::close(Connection &connection)
{
    connection.thread.join();
    if (this->traffic) {
        this->traffic->removeSocket(connection.socket);
    }
    ::close(connection.socket);
}

void RpcServer::stop()
{
    if (this->listener < 0 || this->stopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    const std::lock_guard lock(this->mutex);
    for (Connection &connection : this->connections) {
        ::shutdown(connection.socket, SHUT_RDWR);
    }
    for (Connection &connection : this->connections) {
        this->close(connection);
    }
    this->connections.clear();
}

uint64_t RpcServer::refusedLogins() const
{
    return this->loginsRefused;
}

} // namespace LibWire
