#include "ProcessTest.h"

#include <AK/Text.h>

namespace
{

Harness::CommandResult runOperatorCommand(Harness::Site &site, std::vector<std::string> arguments)
{
    for (int entry = 1; entry <= site.plan().entries; ++entry) {
        arguments.insert(arguments.end(), {"--entry", site.entryAddress(entry).text()});
    }
    arguments.insert(arguments.end(), {"--key-file", site.operatorKeyFile()});
    return Harness::runCommand(AK::concat(CATKINLINK_BIN, "/catkinlink"), arguments, site.folder() + "/command.log");
}

/// Failure domains of the restrictions in force at an entry; nothing when the entry does not respond.
std::optional<std::set<std::string>> restrictionsAt(Harness::Site &site, int entry)
{
    const auto view = site.status(site.entryAddress(entry));
    if (!view.ok()) {
        return std::nullopt;
    }
    std::set<std::string> found;
    for (const nlohmann::json &row : view->at("restrictions")) {
        found.insert(row.value("failure_domain", ""));
    }
    return found;
}

bool waitForRestrictions(Harness::Site &site, const std::set<std::string> &wanted)
{
    return Harness::waitUntil(waitLimitMs, [&] {
        for (int entry = 1; entry <= site.plan().entries; ++entry) {
            if (restrictionsAt(site, entry) != wanted) {
                return false;
            }
        }
        return true;
    });
}

// Guards against a change that is reported as accepted although the store is down, and against an emergency restriction that does not reach a process, is lost
// when an entry restarts or comes back after it was settled.
TEST(StoreOutageTest, EmergencyRestrictionHoldsUntilSettled)
{
    Harness::Site site(smallPlan({orderDesk(6)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    setFault(site.objectApi(), {{"mode", "down"}});
    EXPECT_EQ(runOperatorCommand(site, {"domain", "out", "cusco", "--reason", "flood"}).status, 5);
    const Harness::CommandResult emergency = runOperatorCommand(site, {"domain", "out", "cusco", "--emergency", "--reason", "flood", "--json"});
    ASSERT_EQ(emergency.status, 0) << emergency.output;
    const nlohmann::json report = nlohmann::json::parse(emergency.output, nullptr, false);
    EXPECT_FALSE(report.value("accepted", true)) << emergency.output;
    EXPECT_EQ(report.value("in_force_on", 0), static_cast<int>(site.daemonNames().size())) << emergency.output;
    EXPECT_EQ(report.value("members", 0), static_cast<int>(site.daemonNames().size())) << emergency.output;
    EXPECT_TRUE(waitForRestrictions(site, {"cusco"}));
    for (int entry = 1; entry <= site.plan().entries; ++entry) {
        // The entries restart one after the other, so that each has to learn the restriction from the others.
        const std::string name = AK::concat("entry-", entry);
        site.process(name).kill();
        site.startDaemon(name);
        EXPECT_TRUE(waitForRestrictions(site, {"cusco"})) << name;
    }
    EXPECT_EQ(site.waitForRevision(1, waitLimitMs), absl::OkStatus());
    setFault(site.objectApi(), {{"mode", "none"}});
    const Harness::CommandResult recorded = runOperatorCommand(site, {"domain", "out", "cusco", "--reason", "flood"});
    ASSERT_EQ(recorded.status, 0) << recorded.output;
    EXPECT_TRUE(waitForRestrictions(site, {}));
    const Harness::CommandResult withdrawn = runOperatorCommand(site, {"domain", "in", "cusco", "--reason", "dry again"});
    ASSERT_EQ(withdrawn.status, 0) << withdrawn.output;
    EXPECT_EQ(site.waitForRevision(3, waitLimitMs), absl::OkStatus());
    EXPECT_TRUE(waitForRestrictions(site, {}));
}

// Guards against a thundering herd: all processes calling the store at the same moment when it returns from an outage.
TEST(StoreOutageTest, ReturningStoreGetsNoThunderingHerd)
{
    Harness::SitePlan plan = smallPlan({orderDesk(20)});
    // Reads of the host list are made rare, so that the counted calls are watches and reads of the change.
    plan.timing["host_list_interval_ms"] = 5'000;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    setFault(site.objectApi(), {{"mode", "down"}});
    const auto calls = [&] {
        const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
        return stats.ok() ? stats->value("calls", int64_t{0}) : 0;
    };
    // Waits until every watcher has failed at least twice, so that their retry pauses have diverged.
    const int64_t before = calls();
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return calls() >= before + 18; }));
    const auto reset = Harness::postJson(site.objectApi(), "/fake/stats/reset", nlohmann::json::object());
    ASSERT_TRUE(reset.ok()) << reset.status();
    setFault(site.objectApi(), {{"mode", "none"}});
    const auto revision = site.change([](nlohmann::json &document) { document["accounts"]["account-1"]["weight"] = 3; }, "after the outage");
    ASSERT_TRUE(revision.ok()) << revision.status();
    EXPECT_EQ(site.waitForRevision(*revision, waitLimitMs), absl::OkStatus());
    const auto stat = [&](const char *name) {
        const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
        return stats.ok() ? stats->value(name, int64_t{-1}) : -1;
    };
    // Once all processes agree on the members, each of the three failure domains has two watchers.
    EXPECT_TRUE(Harness::waitUntil(waitLimitMs, [&] { return stat("waiting_watches") == 6; })) << stat("waiting_watches");
    EXPECT_LT(stat("peak_calls_per_s"), static_cast<int64_t>(site.daemonNames().size()));
}

} // namespace
