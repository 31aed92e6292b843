#include <LibWire/RpcConnection.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace LibWire
{

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> stream, std::shared_ptr<TrafficCounter> traffic, kj::WaitScope &scope)
    : scope(scope)
    , traffic(std::move(traffic))
    , stream(kj::mv(stream))
    , client(*this->stream)
    , remote(nullptr)
{
    KJ_IF_MAYBE (socket, this->stream->getFd()) {
        if (this->traffic) {
            this->traffic->addSocket(*socket);
        }
    }
}

RpcConnection::~RpcConnection()
{
    KJ_IF_MAYBE (socket, this->stream->getFd()) {
        if (this->traffic) {
            this->traffic->removeSocket(*socket);
        }
    }
}

absl::StatusOr<std::unique_ptr<RpcConnection>> RpcConnection::open(const AK::Endpoint &target, const RpcIdentity &identity, AK::Milliseconds timeout,
                                                                   kj::WaitScope &scope)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    auto &network = threadEventLoop().provider->getNetwork();
    kj::Own<kj::NetworkAddress> peer = network.getSockaddr(&address, sizeof(address));
    absl::StatusOr<kj::Own<kj::AsyncIoStream>> stream = waitFor<kj::Own<kj::AsyncIoStream>>(peer->connect(), timeout, scope);
    if (!stream.ok()) {
        return absl::UnavailableError(AK::concat("cannot connect to process at ", target.text(), ": ", stream.status().message()));
    }
    int on = 1;
    (*stream)->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::unique_ptr<RpcConnection> connection(new RpcConnection(kj::mv(*stream), identity.traffic, scope));
    const LoginProof proof = identity.keys->sign(identity.process, target);
    auto login = connection->client.bootstrap().castAs<Wire::Door>().loginRequest();
    auto credential = login.initCredential();
    credential.setKeyId(proof.keyId);
    credential.setProcess(proof.process);
    credential.setTimeMs(proof.timeMs);
    credential.setNonce(proof.nonce);
    credential.setMac(proof.mac);
    connection->remote = login.send().getNode();
    return connection;
}

Wire::Node::Client &RpcConnection::node()
{
    return this->remote;
}

kj::WaitScope &RpcConnection::waitScope()
{
    return this->scope;
}

} // namespace LibWire
