#include "SlotRequester.h"

#include <LibGateway/ServiceOrder.h>
#include <algorithm>

namespace Gateway
{

namespace
{

// Owners that a call asks in one round; each request is a round trip.
constexpr int maxOwnersAsked = 3;
// Upper limit, in calls, of the random load added to each candidate. All entries see the same reports and would otherwise ask the same owner at once.
constexpr double loadJitter = 2;

bool isExcluded(const LibPeers::SlotRequest &request, const std::string &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

LibPeers::SlotRequest slotRequest(const CallRequirements &requirements)
{
    LibPeers::SlotRequest request{requirements.service,        requirements.promptTokens, requirements.rank.priority,
                                  requirements.rank.returning, requirements.regions,      {}};
    if (request.regions.empty()) {
        request.regions = requirements.accountRegions;
    } else {
        std::erase_if(request.regions, [&](const std::string &region) { return !allowsRegion(requirements.accountRegions, region); });
    }
    request.excluded.assign(requirements.excluded.begin(), requirements.excluded.end());
    request.account = requirements.account;
    return request;
}

} // namespace

SlotRequester::SlotRequester(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, UpstreamTable &table, LibGateway::PlacementSettings settings,
                             SlotSource *slotSource)
    : loop(loop)
    , fleet(fleet)
    , table(table)
    , settings(settings)
    , slotSource(slotSource)
    , random(AK::seededFromSystem())
{
}

kj::Maybe<RequestedSlot> SlotRequester::request(kj::WaitScope &scope, const CallRequirements &requirements)
{
    if (this->slotSource == nullptr) {
        return nullptr;
    }
    LibPeers::SlotRequest request = slotRequest(requirements);
    this->excludeByNotice(requirements, request);
    std::set<std::string> askedOwners;
    for (int i = 0; i < maxOwnersAsked && this->loop.clock().now() < requirements.startBy; ++i) {
        const std::string owner = this->chooseOwner(requirements, request, askedOwners);
        if (owner.empty()) {
            return nullptr;
        }
        auto offered = this->slotSource->requestSlot(scope, owner, request);
        if (!offered.ok()) {
            askedOwners.insert(owner);
            continue;
        }
        KJ_IF_MAYBE (offer, *offered) {
            const std::string upstream = offer->upstream;
            kj::Maybe<RequestedSlot> accepted = this->accept(kj::mv(*offer), requirements);
            if (accepted != nullptr) {
                return accepted;
            }
            request.excluded.push_back(upstream);
            continue;
        }
        askedOwners.insert(owner);
    }
    return nullptr;
}

kj::Maybe<RequestedSlot> SlotRequester::requestAndWait(kj::WaitScope &scope, const CallRequirements &requirements, AK::Milliseconds wait,
                                                       std::set<std::string> &asked)
{
    LibPeers::SlotRequest request = slotRequest(requirements);
    this->excludeByNotice(requirements, request);
    request.priority = LibGateway::requestedPriority(request.priority, this->loop.clock().now() < requirements.inTimeUntil);
    request.wait = wait;
    const std::string owner = this->drawOwner(requirements, request, asked);
    if (owner.empty()) {
        return nullptr;
    }
    asked.insert(owner);
    KJ_DEFER(asked.erase(owner));
    auto offered = this->slotSource->requestSlot(scope, owner, request);
    if (offered.ok()) {
        KJ_IF_MAYBE (offer, *offered) {
            return this->accept(kj::mv(*offer), requirements);
        }
    }
    return nullptr;
}

std::string SlotRequester::drawOwner(const CallRequirements &requirements, const LibPeers::SlotRequest &request, const std::set<std::string> &asked)
{
    std::vector<const LibFleet::UpstreamRecord *> records;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (record.service == requirements.service && this->table.hasOwner(record) && !this->table.isOwn(record) && !asked.contains(this->table.ownerOf(record))
            && !isExcluded(request, id) && !this->table.hindranceTo(record, requirements, CallStage::Request)) {
            records.push_back(&record);
        }
    }
    if (records.empty()) {
        return "";
    }
    return this->table.ownerOf(*records[std::uniform_int_distribution<size_t>(0, records.size() - 1)(this->random)]);
}

void SlotRequester::excludeByNotice(const CallRequirements &requirements, LibPeers::SlotRequest &request)
{
    using LibGateway::Obstacle;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        const auto hindrance = this->table.hindranceTo(record, requirements, CallStage::Request);
        if (hindrance && (hindrance->obstacle == Obstacle::Leaving || hindrance->obstacle == Obstacle::Paused || hindrance->obstacle == Obstacle::Resuming)) {
            request.excluded.push_back(id);
        }
    }
}

std::string SlotRequester::chooseOwner(const CallRequirements &requirements, const LibPeers::SlotRequest &request, const std::set<std::string> &askedOwners)
{
    std::vector<LibGateway::PlacementCandidate> candidates;
    std::vector<const LibFleet::UpstreamRecord *> records;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (!this->table.hasOwner(record) || this->table.isOwn(record) || askedOwners.contains(this->table.ownerOf(record)) || isExcluded(request, id)
            || this->table.hindranceTo(record, requirements, CallStage::Request)) {
            continue;
        }
        LibGateway::PlacementCandidate candidate = this->table.remoteCandidateOf(record);
        candidate.load += std::uniform_real_distribution<double>(0, loadJitter)(this->random);
        candidates.push_back(candidate);
        records.push_back(&record);
    }
    const std::optional<size_t> chosen = LibGateway::chooseUpstream(candidates, 0, true, this->settings, this->random);
    return chosen ? this->table.ownerOf(*records[*chosen]) : "";
}

kj::Maybe<RequestedSlot> SlotRequester::accept(LibPeers::OfferedSlot offer, const CallRequirements &requirements)
{
    const auto record = this->fleet.upstreams().find(offer.upstream);
    if (record == this->fleet.upstreams().end() || this->table.hindranceTo(record->second, requirements, CallStage::Request)) {
        return nullptr;
    }
    // An owner of an older build does not state the version.
    const int64_t version = offer.weightsVersion != 0 ? offer.weightsVersion : this->table.heldWeightsVersion(record->second);
    if (record->second.isEngine && !this->table.allowsWeights(requirements.service, version)) {
        return nullptr;
    }
    return RequestedSlot{record->second, version, kj::mv(offer.slot)};
}

} // namespace Gateway
