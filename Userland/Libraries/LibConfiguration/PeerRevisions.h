#pragma once

#include <AK/Clock.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/RpcConnection.h>
#include <string>
#include <vector>

namespace LibConfiguration
{

/// Exchanges revisions with other processes. Thread-safe.
class PeerRevisions
{
public:
    struct FetchResult {
        /// Number of peers that responded, with or without a revision.
        size_t responses = 0;
        /// Serialized revisions from the peers whose revision is greater than `above`.
        std::vector<std::string> revisions;
    };

    PeerRevisions(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibMembership::MembershipView &membership,
                  LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    /// Offers a revision to a few random members and waits for their responses.
    void push(uint64_t revision, const std::string &document);

    /// Requests revisions greater than `above` from all given peers at the same time.
    FetchResult fetch(const std::vector<AK::Endpoint> &peers, uint64_t above) const;

    /// The seeds and a few random members, without this process.
    std::vector<AK::Endpoint> choosePeers() const;

private:
    AK::Milliseconds responseTimeout() const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibMembership::MembershipView &membership;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
};

} // namespace LibConfiguration
