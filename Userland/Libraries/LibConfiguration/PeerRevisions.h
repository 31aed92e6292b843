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

/// Exchanges revisions with other processes. Safe to use from several threads.
class PeerRevisions
{
public:
    struct Fetched {
        /// Peers that answered, with or without a revision.
        size_t answered = 0;
        /// Serialized revisions of the peers that have one greater than asked for.
        std::vector<std::string> revisions;
    };

    PeerRevisions(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibMembership::MembershipView &membership,
                  LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    /// Offers a revision to a few random members.
    void push(uint64_t revision, const std::string &document);

    /// Asks all peers at the same time for revisions greater than `above`.
    Fetched fetch(const std::vector<AK::Endpoint> &peers, uint64_t above) const;

    /// Seeds and a few random members, this process excluded.
    std::vector<AK::Endpoint> someKnown() const;

private:
    AK::Milliseconds replyTimeout() const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibMembership::MembershipView &membership;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
};

} // namespace LibConfiguration
