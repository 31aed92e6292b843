#include <Clocks/SuspendedClock.h>
#include <Gateway/WeightsOverview.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds switchDelay = 6'700;
constexpr AK::Milliseconds assumedAge = 4'700;
const std::string model = "m";

// Guards against entries that disagree on when weights were named, with nothing that shows it.
TEST(WeightsOverview, ShowsTheRequiredVersionAndTheAgeOfEachNaming)
{
    SuspendedClock clock;
    LibFleet::FleetState fleet(clock);
    LibFleet::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"].engine = LibFleet::EngineSpec{};
    configuration.services["s"].engine->model = model;
    configuration.services["plain"] = {};
    fleet.setConfiguration(configuration);
    Gateway::TableSettings settings;
    settings.weightsSwitchDelay = switchDelay;
    const Gateway::UpstreamTable table(clock, fleet, settings, false);
    fleet.setWeightsTargets({{model, 2}}, assumedAge);
    clock.running += switchDelay - assumedAge;
    fleet.setWeightsTargets({{model, 3}}, assumedAge);
    LibMetrics::MetricRegistry metrics;
    Gateway::exportWeights(table, fleet, clock, metrics);
    for (const char *line :
         {"catkinlink_weights_required_version{service=\"s\"} 2", "catkinlink_weights_target_age_ms{model=\"m\",version=\"2\"} 6700",
          "catkinlink_weights_target_age_ms{model=\"m\",version=\"3\"} 0", "catkinlink_weights_target_age_assumed{model=\"m\",version=\"2\"} 1",
          "catkinlink_weights_target_age_assumed{model=\"m\",version=\"3\"} 0"}) {
        EXPECT_NE(metrics.text().find(line), std::string::npos) << line << "\n" << metrics.text();
    }
    EXPECT_EQ(metrics.text().find("plain"), std::string::npos);
}

} // namespace
