#include "UpstreamChoice.h"

#include <algorithm>

namespace Gateway
{

UpstreamChoice chooseUpstream(UpstreamTable &table, const LibFleet::FleetState &fleet, const CallRequirements &requirements, GrantKind kind, bool ignoreBacklog,
                              const TableSettings &settings, AK::Random &random)
{
    UpstreamChoice choice;
    std::vector<LibGateway::PlacementCandidate> candidates;
    std::vector<const LibFleet::UpstreamRecord *> records;
    for (const auto &[id, record] : fleet.upstreams()) {
        const bool hasOwner = table.hasOwner(record);
        const bool foreign = hasOwner && !table.isOwn(record);
        if ((kind == GrantKind::ForPeer && (foreign || !hasOwner)) || (foreign && choice.anyUsable)) {
            continue;
        }
        const auto hindrance = table.hindranceTo(record, requirements, foreign ? CallStage::Request : CallStage::Choice);
        choice.anyUsable = choice.anyUsable || !hindrance || LibGateway::isLackOfRoom(hindrance->obstacle);
        if (!foreign && !hindrance) {
            candidates.push_back(table.candidateOf(record));
            records.push_back(&record);
        }
    }
    const bool estimated =
        std::any_of(candidates.begin(), candidates.end(), [](const LibGateway::PlacementCandidate &candidate) { return candidate.estimated; });
    const std::optional<size_t> chosen = estimated
        ? LibGateway::chooseSharedUpstream(candidates, settings.placement, settings.estimate, random)
        : LibGateway::chooseUpstream(candidates, table.prefillMs(requirements.service, requirements.promptTokens), ignoreBacklog, settings.placement, random);
    if (chosen) {
        choice.upstream = records[*chosen];
        choice.load = candidates[*chosen].load;
    }
    return choice;
}

} // namespace Gateway
