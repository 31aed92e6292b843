#include "WeightsOverview.h"

namespace Gateway
{

void exportWeights(const UpstreamTable &table, const LibFleet::FleetState &fleet, const AK::Clock &clock, LibMetrics::MetricRegistry &metrics)
{
    const auto configuration = fleet.configuration();
    if (!configuration) {
        return;
    }
    for (const auto &[name, service] : configuration->services) {
        if (!service.engine) {
            continue;
        }
        metrics.set("catkinlink_weights_required_version", {{"service", name}}, static_cast<double>(table.requiredWeightsVersion(name)));
        for (const LibFleet::WeightsTarget &target : fleet.weightsTargets(service.engine->model)) {
            const AK::Milliseconds age = clock.uninterruptedTime() - target.learnedAt;
            const LibMetrics::Labels labels{{"model", service.engine->model}, {"version", std::to_string(target.version)}};
            metrics.set("catkinlink_weights_target_age_ms", labels, static_cast<double>(age));
            metrics.set("catkinlink_weights_target_age_assumed", labels, target.ageAssumed ? 1 : 0);
        }
    }
}

} // namespace Gateway
