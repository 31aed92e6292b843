#pragma once

#include <LibFleet/FleetState.h>
#include <LibPeers/PeerRecords.h>
#include <kj/common.h>

namespace Gateway
{

class Dispatcher;

/// Whose call holds a place, and who owns the upstream.
enum class GrantKind {
    /// A call of this entry, at an upstream that it owns or that has no owner.
    Own,
    /// A call of this entry; another entry owns the upstream and holds the place.
    AtOther,
    /// A call of another entry, at an upstream of this one.
    ForOther,
};

/// A place at an upstream; given back when it is dropped.
class Grant final : public LibPeers::HeldSlot
{
public:
    /// `heldByOwner`: the place that the owner of the upstream holds, for GrantKind::AtOther.
    Grant(Dispatcher &dispatcher, GrantKind kind, LibFleet::UpstreamRecord upstream, int64_t weightsVersion, int64_t promptTokens, double load,
          kj::Maybe<kj::Own<LibPeers::HeldSlot>> heldByOwner = nullptr);
    ~Grant() noexcept(false) override;
    KJ_DISALLOW_COPY(Grant);

    const LibFleet::UpstreamRecord &upstream() const;
    /// Weights that must answer, 0 for any.
    int64_t weightsVersion() const;
    /// Estimated calls at the upstream when it was chosen.
    double loadAtChoice() const;

    void promptRead() override;

private:
    void prompted();

    Dispatcher &dispatcher;
    GrantKind kind;
    LibFleet::UpstreamRecord record;
    int64_t version;
    int64_t pendingTokens;
    double load;
    kj::Maybe<kj::Own<LibPeers::HeldSlot>> heldByOwner;
};

} // namespace Gateway
