#include "SlotSite.h"
#include "SwallowingRelay.h"
#include <gtest/gtest.h>

namespace
{

using namespace Gateway;

/// What becomes of the connection over which an entry holds a slot at the owner.
enum class ConnectionFate { Kept, Swallowed, Closed };

struct LostEntryCase {
    const char *name;
    ConnectionFate fate;
    /// The call ends, and its entry says so over the connection.
    bool callEnds;
    int openAfterwards;
};

class LostEntryTest : public testing::TestWithParam<LostEntryCase>
{
};

// Guards against slots that stay taken for good because the entry that holds them has vanished without a reset, and against slots that are taken back from an
// entry that is there and has nothing to say.
TEST_P(LostEntryTest, FreesItsSlotsInBoundedTime)
{
    constexpr AK::Milliseconds bound = 8'000;
    constexpr AK::Milliseconds step = 50;
    constexpr int allSlots = 4;
    // A request for a slot that gets no response over a silent connection keeps the next one back for a while.
    constexpr AK::Milliseconds longWait = 1'000;
    static uint16_t relayPort = 18'700;
    SlotSite site;
    const AK::Endpoint relayAddress{Loopback::processHost(), ++relayPort};
    SwallowingRelay relay(site.loop, relayAddress, site.fleet.entries().at("e2").rpcAddress);
    std::map<std::string, LibFleet::EntryRecord> entries = site.fleet.entries();
    entries.at("e2").rpcAddress = relayAddress;
    site.fleet.setEntries(entries);
    const auto acquireAtOwner = [&] {
        CallRequirements requirements = site.requirements(0);
        requirements.regions = {"cusco"};
        requirements.startBy = requirements.arrivedAt + longWait;
        return site.acquire(site.first, requirements);
    };
    kj::Maybe<kj::Own<Grant>> held = acquireAtOwner();
    ASSERT_EQ(upstreamOf(held), "i-2");
    ASSERT_EQ(site.second.openSlots(), allSlots - 1);
    if (GetParam().fate == ConnectionFate::Swallowed) {
        relay.swallow();
    } else if (GetParam().fate == ConnectionFate::Closed) {
        relay.close();
    }
    if (GetParam().callEnds) {
        held = nullptr;
    }
    const AK::Milliseconds until = site.loop.clock().now() + bound;
    while (site.loop.clock().now() < until && site.second.openSlots() < allSlots) {
        site.loop.sleep(site.loop.rootScope(), step);
    }
    EXPECT_EQ(site.second.openSlots(), GetParam().openAfterwards);
    // The entry reaches the owner over a new connection.
    const kj::Maybe<kj::Own<Grant>> next = acquireAtOwner();
    EXPECT_EQ(upstreamOf(next), "i-2");
    site.loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, LostEntryTest,
                         testing::Values(LostEntryCase{"vanished_during_the_call", ConnectionFate::Swallowed, false, 4},
                                         LostEntryCase{"end_of_the_call_is_lost", ConnectionFate::Swallowed, true, 4},
                                         LostEntryCase{"closed", ConnectionFate::Closed, false, 4}, LostEntryCase{"call_ended", ConnectionFate::Kept, true, 4},
                                         LostEntryCase{"there_and_silent", ConnectionFate::Kept, false, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
