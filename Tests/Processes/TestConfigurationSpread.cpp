#include "ProcessTest.h"

#include <AK/Text.h>
#include <Harness/EventLog.h>
#include <csignal>

namespace
{

const std::string service = "order-desk";

Harness::SitePlan spreadPlan()
{
    Harness::SitePlan plan = smallPlan({orderDesk(6)});
    plan.entries = 3;
    return plan;
}

uint64_t change(Harness::Site &site, int weight)
{
    const auto revision =
        site.change([weight](nlohmann::json &document) { document["accounts"]["account-1"]["weight"] = weight; }, AK::concat("weight ", weight));
    EXPECT_TRUE(revision.ok()) << revision.status();
    return revision.ok() ? *revision : 0;
}

std::vector<uint64_t> revisionsInLog(Harness::Site &site, const std::string &name)
{
    std::vector<uint64_t> revisions;
    for (const nlohmann::json &event : Harness::readEvents(AK::concat(site.folder(), "/", name, ".log"), "revision_in_force")) {
        revisions.push_back(event.value("revision", uint64_t{0}));
    }
    return revisions;
}

/// Checks that no process ever put a smaller revision in force than before, including before its restarts.
void expectNoReversion(Harness::Site &site)
{
    for (const std::string &name : site.daemonNames()) {
        const std::vector<uint64_t> revisions = revisionsInLog(site, name);
        EXPECT_TRUE(std::ranges::is_sorted(revisions)) << name << ": " << testing::PrintToString(revisions);
    }
}

/// Waits until every entry in `observers` reports `status` for all members in `names`.
bool waitForStatus(Harness::Site &site, const std::vector<int> &observers, const std::vector<std::string> &names, const std::string &status)
{
    return Harness::waitUntil(waitLimitMs, [&] {
        return std::ranges::all_of(observers, [&](int observer) {
            const auto view = site.status(site.entryAddress(observer));
            return view.ok() && std::ranges::all_of(names, [&](const std::string &name) {
                       return std::ranges::any_of(view->at("members"), [&](const nlohmann::json &member) {
                           return member.value("name", "") == name && member.value("status", "") == status;
                       });
                   });
        });
    });
}

struct StoreCase {
    const char *name;
    nlohmann::json fault;
};

class RestartTest : public testing::TestWithParam<StoreCase>
{
};

// Guards against a process that starts without a configuration or with an old one when it restarts during a fault of the store.
TEST_P(RestartTest, StartsWithTheNewestRevision)
{
    Harness::Site site(spreadPlan());
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    uint64_t newest = 0;
    for (int weight = 2; weight <= 4; ++weight) {
        newest = change(site, weight);
        const absl::Status spread = site.waitForRevision(newest, waitLimitMs);
        ASSERT_TRUE(spread.ok()) << spread;
    }
    setFault(site.objectApi(), GetParam().fault);
    for (int round = 0; round < 3; ++round) {
        for (const std::string &name : {std::string("entry-2"), service + "-1", service + "-4"}) {
            site.process(name).kill();
            site.startDaemon(name);
        }
        const absl::Status restarted = site.waitForRevision(newest, waitLimitMs);
        EXPECT_TRUE(restarted.ok()) << restarted;
    }
    expectNoReversion(site);
}

INSTANTIATE_TEST_SUITE_P(Table, RestartTest,
                         testing::Values(StoreCase{"store_down", {{"mode", "down"}}}, StoreCase{"store_stale", {{"mode", "stale"}}},
                                         StoreCase{"store_slow", {{"mode", "slow"}, {"delay_ms", 3'000}}},
                                         StoreCase{"store_loses_answers", {{"mode", "lose_answers"}}}),
                         [](const auto &info) { return info.param.name; });

// Guards against revisions or memberships that still differ after a network partition has ended. One half is paused, so that the halves cannot reach each
// other.
TEST(PartitionTest, HalvesConverge)
{
    Harness::Site site(spreadPlan());
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    const std::vector<std::string> pausedHalf{"entry-2", "entry-3", service + "-2", service + "-4", service + "-6"};
    for (const std::string &name : pausedHalf) {
        site.process(name).signal(SIGSTOP);
    }
    EXPECT_TRUE(waitForStatus(site, {1}, pausedHalf, "dead"));
    const uint64_t newest = change(site, 7);
    for (const std::string &name : pausedHalf) {
        site.process(name).signal(SIGCONT);
    }
    const absl::Status spread = site.waitForRevision(newest, waitLimitMs);
    EXPECT_TRUE(spread.ok()) << spread;
    EXPECT_TRUE(waitForStatus(site, {1, 2, 3}, site.daemonNames(), "alive"));
    expectNoReversion(site);
}

std::set<std::string> addressesAt(Harness::Site &site, int entry)
{
    std::set<std::string> names;
    const auto response = Harness::getJson(site.entryAddress(entry), "/v1/addresses");
    EXPECT_TRUE(response.ok()) << response.status();
    if (response.ok()) {
        for (const nlohmann::json &row : response->at("entries")) {
            names.insert(row.value("name", ""));
        }
    }
    return names;
}

// Guards against a process that was paused for longer than the suspect timeout acting on the configuration from before its pause, and against it staying dead
// for the others.
TEST(PausedProcessTest, IgnoresItsOldConfiguration)
{
    Harness::Site site(spreadPlan());
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(waitForStatus(site, {1, 2, 3}, site.daemonNames(), "alive"));
    ASSERT_TRUE(addressesAt(site, 2).contains("entry-1"));
    site.process("entry-2").signal(SIGSTOP);
    EXPECT_TRUE(waitForStatus(site, {1, 3}, {"entry-2"}, "dead"));
    const auto view = site.status(site.entryAddress(1));
    ASSERT_TRUE(view.ok()) << view.status();
    const auto &members = view->at("members");
    const std::string domain = std::ranges::find_if(members, [](const nlohmann::json &row) { return row["name"] == "entry-1"; })->value("failure_domain", "");
    const auto newest = site.change([&](nlohmann::json &document) { document["failure_domains"][domain]["in_service"] = false; }, "domain out");
    ASSERT_TRUE(newest.ok()) << newest.status();
    ASSERT_TRUE(Harness::waitUntil(waitLimitMs, [&] {
        return std::ranges::all_of(site.daemonNames(), [&](const std::string &name) {
            const std::vector<uint64_t> revisions = revisionsInLog(site, name);
            return name == "entry-2" || (!revisions.empty() && revisions.back() == *newest);
        });
    }));
    site.process("entry-2").signal(SIGCONT);
    // The first response after the pause already follows the change.
    EXPECT_FALSE(addressesAt(site, 2).contains("entry-1"));
    EXPECT_TRUE(waitForStatus(site, {1, 3}, {"entry-2"}, "alive"));
    expectNoReversion(site);
}

// Guards against a process that was paused staying dead for the others although it responds again. Here only a refutation changes its membership record.
TEST(PausedProcessTest, RefutesItsDeath)
{
    Harness::Site site(spreadPlan());
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(waitForStatus(site, {1, 2, 3}, site.daemonNames(), "alive"));
    site.process("entry-2").signal(SIGSTOP);
    EXPECT_TRUE(waitForStatus(site, {1, 3}, {"entry-2"}, "dead"));
    site.process("entry-2").signal(SIGCONT);
    EXPECT_TRUE(waitForStatus(site, {1, 2, 3}, site.daemonNames(), "alive"));
}

} // namespace
