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

/// Calls to peers for chunks and manifests over persistent connections. May only be used by the thread that created it.
class PeerConnections
{
public:
    PeerConnections(const AK::Clock &clock, LibWire::RpcIdentity identity, AK::Milliseconds rpcTimeout);

    /// State of a peer as seen by the polls up to the last.
    struct PeerState {
        std::string bitmap;
        size_t count = 0;
        /// Whether the last poll was answered. One poll proves little: an answer also comes late when a busy host stands still for a moment.
        bool reachable = true;
        /// Number of polls without an answer since the last answer, and the time of the first of them.
        int failedPolls = 0;
        AK::Milliseconds unreachableSince = 0;
        AK::Milliseconds polledAt = 0;
        /// Time for which the peer has gained no chunk, in ms. A long gap between two polls counts in part only, because this host may have stood still.
        AK::Milliseconds idleFor = 0;
    };

    /// The state of a peer, polled again when it is older than `maxAge` ms.
    const PeerState &peerState(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, AK::Milliseconds maxAge);

    /// The manifest text of a root; empty when the peer has none. Errors: as RpcConnection::call().
    absl::StatusOr<std::string> manifest(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root);

    /// Errors: kDeadlineExceeded when the peer does not answer in time, kUnavailable when it cannot be reached, kInternal when it does not hold the chunk or is
    /// busy.
    absl::StatusOr<std::string> chunk(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, uint32_t index, AK::Milliseconds timeout);

private:
    struct PeerRecord {
        std::unique_ptr<LibWire::RpcConnection> connection;
        PeerState state;
        bool polled = false;
    };

    absl::StatusOr<LibWire::RpcConnection *> connect(const std::string &peer, const AK::Endpoint &endpoint);
    void close(const std::string &peer, const absl::Status &reason);

    const AK::Clock &clock;
    LibWire::RpcIdentity identity;
    AK::Milliseconds rpcTimeout;
    std::map<std::string, PeerRecord> records;
};

} // namespace LibWeights
