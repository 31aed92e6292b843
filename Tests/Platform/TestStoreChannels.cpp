#include "StoreReader.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace
{

using LibFleet::ObjectKind;

class StoreChannelsTest : public testing::Test
{
protected:
    StoreChannelsTest()
    {
        this->reader.store.put("servers", R"("a")", registration("ready"));
        this->reader.store.put("servers", R"("b")", registration("ready"));
        this->reader.start();
    }

    ~StoreChannelsTest() noexcept override = default;

    bool waitUntilInForce()
    {
        return this->reader.waitFor([&] {
            return this->reader.hasUpstream("a") && this->reader.hasUpstream("b")
                && std::all_of(LibFleet::objectKindNames.begin(), LibFleet::objectKindNames.end(),
                               [&](const auto &row) { return this->reader.feeds.position(row.value) > 0; });
        });
    }

    void sleep(AK::Milliseconds time)
    {
        this->reader.loop.sleep(this->reader.loop.rootScope(), time);
    }

    StoreReader reader;
};

struct AwayCase {
    const char *name;
    ChannelEnd end;
};

class AwayStoreTest : public StoreChannelsTest, public testing::WithParamInterface<AwayCase>
{
};

// Guards against an outage that is taken for a mere cut: the store is silent until leases lapse, ends all channels on its return, and upstreams that are alive
// have not registered again yet.
TEST_P(AwayStoreTest, KeepsUpstreamsWhoseLeasesLapsed)
{
    ASSERT_TRUE(this->waitUntilInForce());
    this->reader.store.goAway();
    this->sleep(3'800);
    this->reader.store.remove("servers", R"("a")");
    this->reader.store.remove("servers", R"("b")");
    this->reader.store.comeBack(GetParam().end);
    const AK::Milliseconds back = this->reader.loop.clock().now();
    ASSERT_TRUE(this->reader.waitFor([&] { return this->reader.feeds.position(ObjectKind::Upstreams) >= 5; }));
    while (this->reader.loop.clock().now() < back + 1'900) {
        EXPECT_TRUE(this->reader.hasUpstream("a") && this->reader.hasUpstream("b")) << this->reader.loop.clock().now() - back << " ms after the return";
        this->sleep(50);
    }
    this->reader.store.put("servers", R"("b")", registration("ready"));
    EXPECT_TRUE(this->reader.waitFor([&] { return !this->reader.hasUpstream("a"); })) << "still missing, so it has gone";
    EXPECT_TRUE(this->reader.hasUpstream("b"));
}

INSTANTIATE_TEST_SUITE_P(Table, AwayStoreTest, testing::Values(AwayCase{"reset", ChannelEnd::Reset}, AwayCase{"closed", ChannelEnd::Closed}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
