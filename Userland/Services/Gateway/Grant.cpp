#include "Grant.h"

#include "Dispatcher.h"

namespace Gateway
{

Grant::Grant(Dispatcher &dispatcher, GrantKind kind, LibFleet::UpstreamRecord upstream, int64_t heldWeights, int64_t promptTokens, double load,
             AK::RecentCheck check, kj::Maybe<kj::Own<LibPeers::HeldSlot>> heldByOwner)
    : dispatcher(dispatcher)
    , kind(kind)
    , record(std::move(upstream))
    , weights(heldWeights)
    , pendingPromptTokens(promptTokens)
    , load(load)
    , check(check)
    , grantedAt(dispatcher.loop.clock().now())
    , heldByOwner(kj::mv(heldByOwner))
{
}

void Grant::promptRead()
{
    if (this->pendingPromptTokens > 0) {
        KJ_IF_MAYBE (held, this->heldByOwner) {
            (*held)->promptRead();
        }
        this->clearPendingPrompt();
    }
}

void Grant::countWork(double expected)
{
    this->extraWork += expected - 1;
    this->dispatcher.table.loadOf(this->record).ownExtraWork += expected - 1;
}

void Grant::clearPendingPrompt()
{
    if (this->pendingPromptTokens > 0) {
        this->dispatcher.table.loadOf(this->record).pendingPromptTokens -= this->pendingPromptTokens;
        this->pendingPromptTokens = 0;
        if (this->kind != GrantKind::FromPeer) {
            this->dispatcher.serveWaiters(this->record.service);
        }
    }
}

Grant::~Grant() noexcept(false)
{
    this->clearPendingPrompt();
    this->dispatcher.table.loadOf(this->record).ownExtraWork -= this->extraWork;
    this->dispatcher.release(this->record, this->kind, this->dispatcher.loop.clock().now() - this->grantedAt);
}

const LibFleet::UpstreamRecord &Grant::upstream() const
{
    return this->record;
}

int64_t Grant::heldWeights() const
{
    return this->weights;
}

double Grant::loadAtChoice() const
{
    return this->load;
}

bool Grant::isRecent() const
{
    return this->check.holds();
}

} // namespace Gateway
