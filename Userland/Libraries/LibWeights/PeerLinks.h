#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibWire/RpcConnection.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>

namespace LibWeights
{

/// Chunk calls to peers over kept connections. Bound to the thread that made it.
class PeerLinks
{
public:
    PeerLinks(const AK::Clock &clock, LibWire::RpcIdentity identity, AK::Milliseconds rpcTimeout);

    /// What a peer was last known to hold.
    struct View {
        std::string bitmap;
        size_t count = 0;
        bool reachable = true;
        AK::Milliseconds polledAt = 0;
        AK::Milliseconds lastProgressAt = 0;
    };

    /// The view of a peer, asked again when it is older than `maxAge` ms.
    const View &view(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, AK::Milliseconds maxAge);

    /// The manifest text of a root; empty when the peer has none. Errors: as RpcConnection::call().
    absl::StatusOr<std::string> manifest(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root);

    /// Errors: kDeadlineExceeded when the peer is stalled, kUnavailable when it is gone, kInternal when it does not hold the chunk or is busy.
    absl::StatusOr<std::string> chunk(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, uint32_t index, AK::Milliseconds timeout);

private:
    struct Link {
        std::unique_ptr<LibWire::RpcConnection> connection;
        View view;
        bool polled = false;
    };

    absl::StatusOr<LibWire::RpcConnection *> connect(const std::string &peer, const AK::Endpoint &endpoint);
    void close(const std::string &peer, const absl::Status &reason);

    const AK::Clock &clock;
    LibWire::RpcIdentity identity;
    AK::Milliseconds rpcTimeout;
    std::map<std::string, Link> links;
};

} // namespace LibWeights
