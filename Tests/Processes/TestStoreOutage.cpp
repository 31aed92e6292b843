#include "ProcessTest.h"

#include <AK/Text.h>

namespace
{

Harness::CommandResult command(Harness::Site &site, std::vector<std::string> arguments)
{
    for (int entry = 1; entry <= site.plan().entries; ++entry) {
        arguments.insert(arguments.end(), {"--entry", site.entryAddress(entry).text()});
    }
    arguments.insert(arguments.end(), {"--key-file", site.operatorKeyFile()});
    return Harness::runCommand(AK::concat(CATKINLINK_BIN, "/catkinlink"), arguments, site.folder() + "/command.log");
}

/// Restrictions in force at an entry, as "id/failure_domain"; nothing when it does not answer.
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

bool waitRestricted(Harness::Site &site, const std::set<std::string> &wanted)
{
    return Harness::waitUntil(eventLimitMs, [&] {
        for (int entry = 1; entry <= site.plan().entries; ++entry) {
            if (restrictionsAt(site, entry) != wanted) {
                return false;
            }
        }
        return true;
    });
}

// Guards against a change that is reported as accepted although the store is down, against an emergency restriction that misses a process, is lost with an
// entry's restart or comes back after it was settled.
TEST(StoreOutageTest, EmergencyRestrictionHoldsUntilSettled)
{
    Harness::Site site(smallPlan({orderDesk(6)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    setFault(site.objectApi(), {{"mode", "down"}});
    EXPECT_EQ(command(site, {"domain", "out", "cusco", "--reason", "flood"}).status, 5);
    const Harness::CommandResult emergency = command(site, {"domain", "out", "cusco", "--emergency", "--reason", "flood", "--json"});
    ASSERT_EQ(emergency.status, 0) << emergency.output;
    const nlohmann::json report = nlohmann::json::parse(emergency.output, nullptr, false);
    EXPECT_FALSE(report.value("accepted", true)) << emergency.output;
    EXPECT_EQ(report.value("in_force_on", 0), static_cast<int>(site.daemonNames().size())) << emergency.output;
    EXPECT_EQ(report.value("members", 0), static_cast<int>(site.daemonNames().size())) << emergency.output;
    EXPECT_TRUE(waitRestricted(site, {"cusco"}));
    for (int entry = 1; entry <= site.plan().entries; ++entry) {
        // One after the other, so that the restriction has to come back from the others each time.
        const std::string name = AK::concat("entry-", entry);
        site.process(name).kill();
        site.startDaemon(name);
        EXPECT_TRUE(waitRestricted(site, {"cusco"})) << name;
    }
    EXPECT_EQ(site.waitForRevision(1, eventLimitMs), absl::OkStatus());
    setFault(site.objectApi(), {{"mode", "none"}});
    const Harness::CommandResult recorded = command(site, {"domain", "out", "cusco", "--reason", "flood"});
    ASSERT_EQ(recorded.status, 0) << recorded.output;
    EXPECT_TRUE(waitRestricted(site, {}));
    const Harness::CommandResult withdrawn = command(site, {"domain", "in", "cusco", "--reason", "dry again"});
    ASSERT_EQ(withdrawn.status, 0) << withdrawn.output;
    EXPECT_EQ(site.waitForRevision(3, eventLimitMs), absl::OkStatus());
    EXPECT_TRUE(waitRestricted(site, {}));
}

// Guards against a store that returns from an outage being called by every process at the same moment.
TEST(StoreOutageTest, ReturningStoreSeesNoStampede)
{
    Harness::SitePlan plan = smallPlan({orderDesk(20)});
    // Leaves the watches and the reads of the change as the calls that count.
    plan.timing["host_list_interval_ms"] = 5'000;
    Harness::Site site(plan);
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    setFault(site.objectApi(), {{"mode", "down"}});
    const auto calls = [&] {
        const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
        return stats.ok() ? stats->value("calls", int64_t{0}) : 0;
    };
    // Every watcher has failed at least twice, so that its pauses have grown apart.
    const int64_t before = calls();
    ASSERT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return calls() >= before + 18; }));
    const auto reset = Harness::postJson(site.objectApi(), "/fake/stats/reset", nlohmann::json::object());
    ASSERT_TRUE(reset.ok()) << reset.status();
    setFault(site.objectApi(), {{"mode", "none"}});
    const auto revision = site.change([](nlohmann::json &document) { document["accounts"]["account-1"]["weight"] = 3; }, "after the outage");
    ASSERT_TRUE(revision.ok()) << revision.status();
    EXPECT_EQ(site.waitForRevision(*revision, eventLimitMs), absl::OkStatus());
    const auto stat = [&](const char *name) {
        const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
        return stats.ok() ? stats->value(name, int64_t{-1}) : -1;
    };
    // Two watchers in each of three domains once all processes agree on the members.
    EXPECT_TRUE(Harness::waitUntil(eventLimitMs, [&] { return stat("waiting_watches") == 6; })) << stat("waiting_watches");
    EXPECT_LT(stat("peak_calls_per_s"), static_cast<int64_t>(site.daemonNames().size()));
}

} // namespace
