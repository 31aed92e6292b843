#pragma once

#include <AK/Endpoint.h>
#include <LibWire/EventLoop.h>
#include <LibWire/KeyRing.h>
#include <LibWire/TrafficCounter.h>
#include <LibWire/generated/wire.capnp.h>
#include <capnp/rpc-twoparty.h>
#include <memory>

namespace LibWire
{

/// Identity and keys with which a process logs in to other processes.
struct RpcIdentity {
    std::string process;
    std::shared_ptr<KeyRing> keys;
    /// Counts the bytes of connections that this process opens; may be null.
    std::shared_ptr<TrafficCounter> traffic = nullptr;
};

/// A client connection to another process, bound to the thread that created it. Destroying it cancels all its calls at the peer.
class RpcConnection
{
public:
    /// Connects and sends the login. A refused login shows as the error of the first call.
    /// Errors: kUnavailable when no connection is made within `timeout` ms; the peer cannot have executed anything then.
    static absl::StatusOr<std::unique_ptr<RpcConnection>> open(const AK::Endpoint &target, const RpcIdentity &identity, AK::Milliseconds timeout,
                                                               kj::WaitScope &scope = threadEventLoop().waitScope);

    ~RpcConnection();
    RpcConnection(const RpcConnection &) = delete;
    RpcConnection &operator=(const RpcConnection &) = delete;

    /// The interface of the peer, available once the login is accepted; requests may be sent before (promise pipelining).
    Wire::Node::Client &node();

    /// Sends a prepared request and waits for its reply. Errors as waitFor().
    template <typename Request>
    auto call(Request &&request, AK::Milliseconds timeout) -> absl::StatusOr<kj::Decay<decltype(request.send().wait(kj::instance<kj::WaitScope &>()))>>
    {
        using Reply = kj::Decay<decltype(request.send().wait(kj::instance<kj::WaitScope &>()))>;
        return waitFor<Reply>(kj::Promise<Reply>(request.send()), timeout, this->scope);
    }

    kj::WaitScope &waitScope();

private:
    RpcConnection(kj::Own<kj::AsyncIoStream> stream, std::shared_ptr<TrafficCounter> traffic, kj::WaitScope &scope);

    kj::WaitScope &scope;
    std::shared_ptr<TrafficCounter> traffic;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    Wire::Node::Client remote;
};

} // namespace LibWire
