#pragma once

#include <AK/RecentCheck.h>
#include <LibFleet/FleetState.h>
#include <LibPeers/PeerRecords.h>
#include <kj/common.h>

namespace Gateway
{

class Dispatcher;

/// Which entry a call belongs to, and which entry owns the upstream.
enum class GrantKind {
    /// A call of this entry, at an upstream that this entry owns or that has no owner.
    Local,
    /// A call of this entry, at an upstream of another entry, which holds the slot.
    FromPeer,
    /// A call of another entry, at an upstream that this entry owns.
    ForPeer,
};

/// Holds a slot at an upstream and releases it on destruction.
class Grant final : public LibPeers::HeldSlot
{
public:
    /// `heldWeights`: version of the weights that the upstream holds, 0 when unknown. `check`: begun before the slot was looked for. `heldByOwner`: the slot
    /// that the owner of the upstream holds, for GrantKind::FromPeer.
    Grant(Dispatcher &dispatcher, GrantKind kind, LibFleet::UpstreamRecord upstream, int64_t heldWeights, int64_t promptTokens, double load,
          AK::RecentCheck check, kj::Maybe<kj::Own<LibPeers::HeldSlot>> heldByOwner = nullptr);
    ~Grant() noexcept(false) override;
    KJ_DISALLOW_COPY(Grant);

    const LibFleet::UpstreamRecord &upstream() const;
    /// Version of the weights that the upstream held when it was chosen, 0 when unknown.
    int64_t heldWeights() const;
    /// Estimated calls at the upstream when it was chosen.
    double loadAtChoice() const;
    /// Whether the call may still be sent in this slot.
    bool isRecent() const;

    void promptRead() override;
    /// Adds the work of the call to its upstream until the grant ends; see LibGateway::expectedWork().
    void countWork(double expected);

private:
    /// Removes the prompt from the prefill backlog of the upstream.
    void clearPendingPrompt();

    Dispatcher &dispatcher;
    GrantKind kind;
    LibFleet::UpstreamRecord record;
    int64_t weights;
    int64_t pendingPromptTokens;
    double load;
    double extraWork = 0;
    AK::RecentCheck check;
    AK::Milliseconds grantedAt;
    kj::Maybe<kj::Own<LibPeers::HeldSlot>> heldByOwner;
};

} // namespace Gateway
