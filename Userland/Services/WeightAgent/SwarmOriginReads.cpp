// The reads of SwarmFetch from the origin.

#include "SwarmFetch.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// Reads of the manifest from the origin, one after another, before the peers are asked again.
constexpr int maxManifestReads = 3;
// Pause before the plan is looked at again when no chunk may be read.
constexpr AK::Milliseconds idlePollInterval = 60;
constexpr AK::Milliseconds errorRetryDelay = 300;
// Shortest time between two checks of an origin from which nothing arrives, and the spread of the checks of all agents.
constexpr AK::Milliseconds checkInterval = 500;

} // namespace

absl::StatusOr<std::string> SwarmFetch::readManifestFromOrigin(kj::WaitScope &scope)
{
    for (int read = 0; read < maxManifestReads; ++read) {
        CATKINLINK_ASSIGN(std::string text, this->origin.manifestText(scope, *this->view.origin, this->model, this->version));
        CATKINLINK_ASSIGN(const WeightsManifest manifest, this->origin.parseManifest(text));
        if (manifest.version != this->version) {
            return absl::DataLossError(AK::concat("the origin sent a manifest of version ", manifest.version, " instead of ", this->version));
        }
        if (this->proof.confirm(this->model, manifest)) {
            return text;
        }
    }
    return absl::DataLossError(AK::concat(maxManifestReads, " reads of the manifest of version ", this->version, " differ"));
}

void SwarmFetch::startReadPlan()
{
    this->plan = startPlan(this->seenChunks(), chunkLinkTime(this->view.originLink), this->originReads.readers, this->loop.clock().now());
}

std::optional<uint32_t> SwarmFetch::chooseOriginChunk(ReadKind kind)
{
    if (!this->plan) {
        return this->chooseChunk(std::vector<bool>(this->held->chunkCount(), true), FetchScope::Origin);
    }
    const AK::Milliseconds now = this->loop.clock().now();
    noteSeen(*this->plan, this->seenChunks(), now);
    std::vector<bool> allowed = this->allowedChunks(FetchScope::Origin, this->sourceCounts());
    for (uint32_t i = 0; i < allowed.size(); ++i) {
        const bool own = this->inOriginRegion() && this->ranks[i] == 0;
        allowed[i] = allowed[i] && own == (kind == ReadKind::Own);
    }
    return chooseRead(*this->plan, allowed, kind == ReadKind::Own, now, this->random);
}

bool SwarmFetch::needsStandby() const
{
    const AK::Milliseconds now = this->loop.clock().now();
    for (uint32_t i = 0; i < this->held->chunkCount(); ++i) {
        const auto offers = [i](const PeerState &state) {
            return !state.standby && state.usable() && i < state.offered.size() && state.offered[i];
        };
        if (!this->held->has(i) && !this->inFlight.contains(i) && overdueTime(*this->plan, i, now) >= 0 && std::ranges::none_of(this->peers, offers)) {
            return true;
        }
    }
    return false;
}

void SwarmFetch::fetchFromOrigin(kj::WaitScope &scope, ReadKind kind, size_t number)
{
    while (this->active()) {
        const bool idle = kind == ReadKind::Own ? number >= this->originReads.readsPerReader : !this->plan;
        if (idle || !this->view.origin) {
            this->pause(scope, idlePollInterval);
            continue;
        }
        if (this->plan && !this->contact.reached) {
            this->probeOrigin(scope);
            continue;
        }
        if (const std::optional<uint32_t> chunk = this->chooseOriginChunk(kind)) {
            this->readFromOrigin(scope, *chunk);
        } else {
            if (kind == ReadKind::TakenOver) {
                this->checkOrigin(scope);
            }
            this->pause(scope, idlePollInterval);
        }
    }
}

void SwarmFetch::readFromOrigin(kj::WaitScope &scope, uint32_t chunk)
{
    const bool takenOver = this->plan && !(this->inOriginRegion() && this->ranks[chunk] == 0);
    if (takenOver) {
        ++this->chunksTakenOver;
        this->logger.info("chunk_taken_over",
                          {{"version", this->version},
                           {"chunk", chunk},
                           {"rank", this->ranks[chunk]},
                           {"overdue_ms", overdueTime(*this->plan, chunk, this->loop.clock().now())}});
    }
    this->inFlight.insert(chunk);
    ++this->originReadsInFlight;
    auto data = this->origin.chunk(scope, *this->view.origin, this->model, this->version, chunk);
    --this->originReadsInFlight;
    this->inFlight.erase(chunk);
    this->noteOriginRead(data.status());
    if (!data.ok()) {
        this->pause(scope, errorRetryDelay);
        return;
    }
    this->originBytes += data->size();
    if (!this->storeChunk(chunk, std::move(*data))) {
        this->held->noteRefusedRead(chunk, this->loop.clock().now());
    } else if (takenOver && this->plan && this->inOriginRegion()) {
        noteTakenOver(*this->plan, chunk, this->loop.clock().now());
    }
}

void SwarmFetch::noteOriginRead(const absl::Status &status)
{
    // An origin that does not have the chunk is reachable, so that only a later read can tell when it has.
    const bool reached = status.ok() || (this->plan && absl::IsNotFound(status));
    if (reached == this->contact.reached) {
        return;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds away = reached ? now - this->contact.lostAt : 0;
    this->contact.reached = reached;
    this->contact.lostAt = now;
    this->logger.info(reached ? "origin_reached" : "origin_lost",
                      {{"version", this->version}, {"chunks", this->held->heldCount()}, {"away_ms", away}, {"reason", std::string(status.message())}});
    if (reached && this->plan) {
        this->startReadPlan();
    }
}

void SwarmFetch::checkOrigin(kj::WaitScope &scope)
{
    const AK::Milliseconds now = this->loop.clock().now();
    if (now < this->nextCheckAt || !isStalled(*this->plan, now)) {
        return;
    }
    this->nextCheckAt = now + checkInterval + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, checkInterval));
    this->noteOriginRead(this->origin.probe(scope, *this->view.origin));
}

void SwarmFetch::probeOrigin(kj::WaitScope &scope)
{
    if (this->probing) {
        this->pause(scope, idlePollInterval);
        return;
    }
    this->probing = true;
    KJ_DEFER(this->probing = false);
    const AK::Milliseconds startedAt = this->loop.clock().now();
    if (const absl::Status status = this->origin.probe(scope, *this->view.origin); status.ok()) {
        this->noteOriginRead(status);
        return;
    }
    const size_t rank = regionPosition(this->self, this->members, this->versionKey());
    this->pause(
        scope,
        std::max<AK::Milliseconds>(0, startedAt + probeInterval(rank, this->inOriginRegion() ? this->originReads.readers : 0) - this->loop.clock().now()));
}

} // namespace WeightAgent
