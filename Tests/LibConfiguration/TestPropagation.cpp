#include "Fixture.h"
#include <LibConfiguration/Backoff.h>
#include <gtest/gtest.h>

namespace
{

using LibConfiguration::ApplyResult;
using Tests::changeRequest;
using Tests::siteDocument;

// Guards against a store that returns an old value reverting the configuration, and against changes based on that value.
TEST(Propagation, StaleStoreChangesNothing)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    ASSERT_EQ(node.service->apply(changeRequest("second", 1, siteDocument(false))).result, ApplyResult::Accepted);
    store.set({.stale = true});
    const std::string old = store.get("config", "taller", 0)->value;
    EXPECT_EQ(node.service->offerRevision(1, old), 2U);
    EXPECT_EQ(node.service->offerRevision(99, old), 2U);
    const auto outcome = node.service->apply(changeRequest("third", 1));
    EXPECT_EQ(outcome.result, ApplyResult::StoreUnreachable) << outcome.message;
    // A request that expects the revision in force has no conflict, so the stale store must not be reported as one.
    const auto current = node.service->apply(changeRequest("fourth", 2));
    EXPECT_EQ(current.result, ApplyResult::StoreUnreachable) << current.message;
    EXPECT_EQ(node.service->current()->revision.number, 2U);
}

// Guards against a process that starts while the store is down and stays without a configuration although a peer has one.
TEST(Propagation, RestartWithStoreDownInstallsThePeersRevision)
{
    Tests::StoreDouble store;
    const AK::SystemClock clock;
    Tests::ConfigurationNode peer(1, store, clock);
    ASSERT_EQ(peer.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    ASSERT_TRUE(peer.server->start().ok());
    store.set({.down = true});
    Tests::ConfigurationNode restarted(2, store, clock, {peer.settings.rpcAddress});
    ASSERT_TRUE(restarted.service->start().ok());
    EXPECT_EQ(restarted.waitForRevision(1), 1U);
}

// Guards against a designated watcher missing a change, and against the watcher not passing the change on to its peers.
TEST(Propagation, WatcherInstallsAndPushesAChange)
{
    Tests::StoreDouble store;
    Tests::StoreDouble unreachable;
    unreachable.set({.down = true});
    const AK::SystemClock clock;
    Tests::ConfigurationNode writer(1, store, clock);
    Tests::ConfigurationNode watcher(2, store, clock);
    Tests::ConfigurationNode other(3, unreachable, clock);
    LibMembership::Member member;
    member.name = other.settings.name;
    member.rpcAddress = other.settings.rpcAddress;
    watcher.membership.memberList.push_back(member);
    ASSERT_TRUE(other.server->start().ok());
    ASSERT_TRUE(watcher.service->start().ok());
    ASSERT_EQ(writer.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    EXPECT_EQ(watcher.waitForRevision(1), 1U);
    EXPECT_EQ(other.waitForRevision(1), 1U);
}

struct RefusedCase {
    const char *name;
    std::function<void(nlohmann::json &)> corrupt;
};

class RefusedRevisionTest : public testing::TestWithParam<RefusedCase>
{
};

// Guards against a corrupted revision, or one of another site, coming into force.
TEST_P(RefusedRevisionTest, LeavesTheRevisionInForce)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    nlohmann::json next = nlohmann::json::parse(node.service->fetchRevision().second);
    next["revision"] = 2;
    const std::string intact = next.dump();
    GetParam().corrupt(next);
    EXPECT_EQ(node.service->offerRevision(2, next.dump()), 1U);
    EXPECT_EQ(node.service->offerRevision(2, intact), 2U);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedRevisionTest,
                         testing::Values(RefusedCase{"other_document",
                                                     [](nlohmann::json &json) {
                                                         json["document"] = siteDocument(false);
                                                     }},
                                         RefusedCase{"other_digest",
                                                     [](nlohmann::json &json) {
                                                         json["digest"] = std::string(64, '0');
                                                     }},
                                         RefusedCase{"invalid_document",
                                                     [](nlohmann::json &json) {
                                                         json["document"].erase("services");
                                                         json["digest"] = LibSettings::documentDigest(json["document"]);
                                                     }},
                                         RefusedCase{"other_site",
                                                     [](nlohmann::json &json) {
                                                         json["document"]["site"] = "mechelen";
                                                         json["digest"] = LibSettings::documentDigest(json["document"]);
                                                     }}),
                         [](const auto &info) { return info.param.name; });

// Guards against an emergency restriction that stays in force after a revision has settled it or after its expiry, or that is restored by a peer.
TEST(Propagation, RestrictionEndsWhenSettledOrExpired)
{
    Tests::StoreDouble store;
    Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    const AK::Milliseconds end = clock.wallTime() + 60'000;
    EXPECT_TRUE(node.service->restrictionsReceived({{"r-1", "", "a-1", "rosa", "", end}, {"r-2", "cusco", "", "rosa", "", end}}));
    EXPECT_FALSE(node.service->restrictionsReceived({{"r-1", "", "a-1", "rosa", "", end}}));
    EXPECT_FALSE(LibConfiguration::upstreamAllowed(*node.service->current(), "a-1", clock.wallTime()));
    EXPECT_FALSE(LibConfiguration::upstreamAllowed(*node.service->current(), "a-2", clock.wallTime()));
    nlohmann::json settling = siteDocument();
    settling["settled_restrictions"] = {"r-1"};
    ASSERT_EQ(node.service->apply(changeRequest("second", 1, settling)).result, ApplyResult::Accepted);
    EXPECT_FALSE(node.service->restrictionsReceived({{"r-1", "", "a-1", "rosa", "", end}}));
    EXPECT_TRUE(LibConfiguration::upstreamAllowed(*node.service->current(), "a-1", clock.wallTime()));
    EXPECT_FALSE(LibConfiguration::upstreamAllowed(*node.service->current(), "a-2", clock.wallTime()));
    clock.wall = end;
    EXPECT_TRUE(LibConfiguration::upstreamAllowed(*node.service->current(), "a-2", clock.wallTime()));
    EXPECT_FALSE(node.service->restrictionsReceived({{"r-3", "lima", "", "rosa", "", end}}));
}

// Guards against all processes retrying at the same moment when the store becomes available again.
TEST(Backoff, DelaysVaryWithinTheLimits)
{
    const uint64_t seed = std::random_device()();
    AK::Random random(seed);
    const LibConfiguration::BackoffLimits limits;
    std::set<AK::Milliseconds> delays;
    AK::Milliseconds delay = 0;
    for (int i = 0; i < 200; ++i) {
        delay = LibConfiguration::nextBackoff(limits, delay, random);
        ASSERT_GE(delay, limits.minimum) << "seed " << seed;
        ASSERT_LE(delay, limits.maximum) << "seed " << seed;
        delays.insert(delay);
    }
    EXPECT_GT(delays.size(), 100U) << "seed " << seed;
}

} // namespace
