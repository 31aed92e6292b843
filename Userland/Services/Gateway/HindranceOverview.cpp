#include "HindranceOverview.h"

#include <algorithm>

namespace Gateway
{

std::optional<AK::Milliseconds> firstPauseEnd(UpstreamTable &table, const LibFleet::FleetState &fleet, const CallRequirements &requirements)
{
    std::optional<AK::Milliseconds> firstEnd;
    for (const auto &[id, record] : fleet.upstreams()) {
        const auto hindrance = table.hindranceTo(record, requirements, CallStage::Request);
        if (!hindrance || LibGateway::isLackOfRoom(hindrance->obstacle)) {
            return std::nullopt;
        }
        if (hindrance->obstacle == LibGateway::Obstacle::Paused) {
            firstEnd = std::min(firstEnd.value_or(hindrance->until), hindrance->until);
        }
    }
    return firstEnd;
}

void exportHindrances(UpstreamTable &table, const LibFleet::FleetState &fleet, LibMetrics::MetricRegistry &metrics)
{
    std::map<LibGateway::Obstacle, int> hindered;
    for (const auto &[id, record] : fleet.upstreams()) {
        CallRequirements anyCall;
        anyCall.service = record.service;
        if (const auto hindrance = table.hindranceTo(record, anyCall, CallStage::Request)) {
            ++hindered[hindrance->obstacle];
        }
    }
    for (const auto &row : LibGateway::obstacleNames) {
        metrics.set("catkinlink_upstreams_hindered", {{"reason", std::string(row.name)}}, hindered[row.value]);
    }
}

} // namespace Gateway
