#include "Fixture.h"
#include <LibMembership/MembershipService.h>
#include <gtest/gtest.h>

namespace
{

class UnavailableHostList final : public LibObjectStore::HostList
{
public:
    absl::StatusOr<std::vector<LibObjectStore::HostEntry>> hosts(AK::Milliseconds) override
    {
        return absl::UnavailableError("no host list in this test");
    }
};

/// Membership and configuration of one process, as the daemon connects them.
struct Process {
    Process(int host, Tests::StoreDouble &store, std::vector<AK::Endpoint> seeds)
        : settings(makeSettings(host, std::move(seeds)))
        , identity{settings.name, std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "0123456789abcdef"}}, clock)}
        , membership(settings, clock, identity, hosts, metrics)
        , configuration(settings, clock, store, membership, identity, metrics)
        , server(settings.rpcAddress, identity.keys, {&membership, &configuration, nullptr, nullptr}, 100)
    {
        this->membership.setObserver(&this->configuration);
        EXPECT_TRUE(this->server.start().ok());
        EXPECT_TRUE(this->membership.start().ok());
        EXPECT_TRUE(this->configuration.start().ok());
    }
    static LibSettings::ProcessSettings makeSettings(int host, std::vector<AK::Endpoint> seeds)
    {
        LibSettings::ProcessSettings settings = Tests::ConfigurationNode::makeSettings(host, std::move(seeds));
        // Member records without an HTTP and an RPC address are refused.
        settings.httpAddress = {settings.rpcAddress.host, 7100};
        return settings;
    }
    ~Process()
    {
        this->server.stop();
        this->configuration.stop();
        this->membership.stop();
    }

    AK::SystemClock clock;
    LibSettings::ProcessSettings settings;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry metrics;
    UnavailableHostList hosts;
    LibMembership::MembershipService membership;
    LibConfiguration::ConfigurationService configuration;
    LibWire::RpcServer server;
};

bool waitUntil(const std::function<bool()> &condition)
{
    const AK::SystemClock clock;
    const AK::Milliseconds end = clock.now() + 30'000;
    while (!condition()) {
        if (clock.now() > end) {
            return false;
        }
        clock.sleep(5);
    }
    return true;
}

// Guards against the two services being connected wrongly, so that a revision or restriction does not reach other processes or a member record contains a
// revision other than the one in force.
TEST(ConfigurationWithMembership, RevisionsAndRestrictionsReachEveryProcess)
{
    Tests::StoreDouble store;
    Tests::StoreDouble unreachable;
    unreachable.set({.down = true});
    const AK::Endpoint first = Tests::ConfigurationNode::makeSettings(11, {}).rpcAddress;
    std::vector<std::unique_ptr<Process>> processes;
    processes.push_back(std::make_unique<Process>(11, store, std::vector<AK::Endpoint>{}));
    for (int host = 12; host <= 16; ++host) {
        processes.push_back(std::make_unique<Process>(host, unreachable, std::vector{first}));
    }
    const auto holdsEverywhere = [&](const std::function<bool(const LibConfiguration::Configuration &)> &check) {
        return waitUntil([&] {
            return std::ranges::all_of(processes, [&](const auto &process) {
                const auto current = process->configuration.current();
                return current && check(*current);
            });
        });
    };
    const auto describe = [&] {
        std::string text;
        for (const auto &process : processes) {
            const auto current = process->configuration.current();
            text += AK::concat(process->settings.name, " has revision ", current ? current->revision.number : 0, " and knows");
            for (const LibMembership::Member &member : process->membership.members()) {
                text += AK::concat(" ", member.name, " ", AK::nameOf(LibMembership::memberStatusNames, member.status));
            }
            text += "\n";
        }
        return text;
    };
    for (uint64_t revision = 1; revision <= 3; ++revision) {
        const auto outcome = processes[0]->configuration.apply(Tests::changeRequest(AK::concat("change-", revision), revision - 1));
        ASSERT_EQ(outcome.result, LibConfiguration::ApplyResult::Accepted) << outcome.message;
        EXPECT_TRUE(holdsEverywhere([revision](const auto &current) { return current.revision.number == revision; })) << describe();
    }
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::all_of(processes, [&](const auto &process) {
            const auto members = process->membership.members();
            return members.size() == processes.size() && std::ranges::all_of(members, [](const LibMembership::Member &member) { return member.revision == 3; });
        });
    }));
    const auto spread = processes[3]->configuration.restrict({"r-1", "lima", "", "rosa", "flood", processes[3]->clock.wallTime() + 600'000});
    ASSERT_TRUE(spread.ok()) << spread.status();
    EXPECT_TRUE(holdsEverywhere([](const auto &current) { return current.restrictions.contains("r-1"); }));
    nlohmann::json settling = Tests::siteDocument();
    settling["settled_restrictions"] = {"r-1"};
    ASSERT_EQ(processes[0]->configuration.apply(Tests::changeRequest("settle", 3, settling)).result, LibConfiguration::ApplyResult::Accepted);
    EXPECT_TRUE(holdsEverywhere([](const auto &current) { return current.revision.number == 4 && current.restrictions.empty(); }));
}

} // namespace
