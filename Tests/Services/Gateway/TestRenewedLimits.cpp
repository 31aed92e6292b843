#include "SlotSite.h"
#include <gtest/gtest.h>

namespace
{

using namespace Gateway;

/// What brings a rate into force.
enum class RateSource { Upstream, Configuration };

struct RenewedLimitCase {
    const char *name;
    bool isEngine;
    RateSource source;
    /// The rate was in force before, then it was not.
    bool inForceBefore;
    /// Calls granted while no rate is in force.
    int callsBetween;
};

class RenewedLimitTest : public testing::TestWithParam<RenewedLimitCase>
{
protected:
    static constexpr double limit = 20;

    void setRate(SlotSite &site, const LibFleet::UpstreamRecord &record, std::optional<double> rate)
    {
        if (GetParam().source == RateSource::Upstream) {
            site.second.recordRateLimit(record, rate, site.loop.clock().now());
            return;
        }
        LibFleet::Configuration configuration = *site.fleet.configuration();
        ++configuration.version;
        configuration.services["s"].coldCallsPerSecond = rate.value_or(0);
        site.fleet.setConfiguration(std::move(configuration));
    }
};

// Guards against an upstream that gets no calls once a rate is in force again, because the calls without one were taken from a bucket that nothing refilled.
TEST_P(RenewedLimitTest, IsUsedAndKept)
{
    constexpr AK::Milliseconds duration = 1'000;
    constexpr AK::Milliseconds step = 5;
    SlotSite site;
    LibFleet::UpstreamRecord record = engineRecord("i-2", "cusco-1", 2);
    record.isEngine = GetParam().isEngine;
    site.fleet.setUpstreams({{"i-2", record}});
    if (GetParam().inForceBefore) {
        this->setRate(site, record, limit);
        EXPECT_EQ(upstreamOf(site.acquire(site.second, site.requirements(0))), "i-2");
        // A response tells of the end only if its call was sent after the last one that named the limit.
        site.loop.sleep(site.loop.rootScope(), step);
        this->setRate(site, record, std::nullopt);
    }
    for (int i = 0; i < GetParam().callsBetween; ++i) {
        ASSERT_EQ(upstreamOf(site.acquire(site.second, site.requirements(0))), "i-2");
    }
    site.loop.sleep(site.loop.rootScope(), step);
    this->setRate(site, record, limit);
    int granted = 0;
    const AK::Milliseconds until = site.loop.clock().now() + duration;
    while (site.loop.clock().now() < until) {
        CallRequirements requirements = site.requirements(0);
        requirements.startBy = site.loop.clock().now() + step;
        granted += upstreamOf(site.acquire(site.second, requirements)) == "i-2" ? 1 : 0;
        site.loop.sleep(site.loop.rootScope(), step);
    }
    const double expected = limit * static_cast<double>(duration) / 1'000;
    EXPECT_GE(granted, 0.6 * expected);
    EXPECT_LE(granted, expected + limit / 3 + 1);
}

INSTANTIATE_TEST_SUITE_P(Table, RenewedLimitTest,
                         testing::Values(RenewedLimitCase{"engine_named_again", true, RateSource::Upstream, true, 100},
                                         RenewedLimitCase{"plain_service_named_again", false, RateSource::Upstream, true, 100},
                                         RenewedLimitCase{"engine_named_first", true, RateSource::Upstream, false, 100},
                                         RenewedLimitCase{"engine_named_again_without_calls", true, RateSource::Upstream, true, 0},
                                         RenewedLimitCase{"cold_rate_configured_again", true, RateSource::Configuration, true, 100},
                                         RenewedLimitCase{"cold_rate_configured_first", true, RateSource::Configuration, false, 100}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
