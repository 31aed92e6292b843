#include <AK/Text.h>
#include <LibMembership/MembershipService.h>
#include <LibMembership/WireRecords.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace
{

using LibMembership::Member;
using LibMembership::MemberStatus;

class HostListDouble final : public LibObjectStore::HostList
{
public:
    absl::StatusOr<std::vector<LibObjectStore::HostEntry>> hosts(AK::Milliseconds) override
    {
        const std::lock_guard lock(this->mutex);
        return this->entries;
    }
    void set(std::vector<LibObjectStore::HostEntry> hosts)
    {
        const std::lock_guard lock(this->mutex);
        this->entries = std::move(hosts);
    }

private:
    std::mutex mutex;
    std::vector<LibObjectStore::HostEntry> entries;
};

AK::Endpoint rpcEndpoint(int host)
{
    return {AK::concat("127.", 1 + getpid() / 250 % 70, ".", getpid() % 250 + 1, ".", host), 7200};
}

struct Node {
    Node(int host, HostListDouble &hosts, std::vector<AK::Endpoint> seeds, AK::Milliseconds gossipIntervalMs = 100)
    {
        this->settings.name = AK::concat("p-", host);
        this->settings.failureDomain = AK::concat("domain-", host % 3);
        this->settings.rpcAddress = rpcEndpoint(host);
        this->settings.httpAddress = {rpcEndpoint(host).host, 7100};
        this->settings.seeds = std::move(seeds);
        this->settings.timing.gossipIntervalMs = gossipIntervalMs;
        this->settings.timing.suspectTimeoutMs = 1'000;
        this->settings.timing.hostListIntervalMs = 100;
        const LibWire::RpcIdentity identity{this->settings.name,
                                            std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "0123456789abcdef"}}, this->clock)};
        this->service = std::make_unique<LibMembership::MembershipService>(this->settings, this->clock, identity, hosts, this->metrics);
        LibWire::NodeHandlers handlers;
        handlers.membership = this->service.get();
        this->server = std::make_unique<LibWire::RpcServer>(this->settings.rpcAddress, identity.keys, handlers, 200);
        EXPECT_TRUE(this->server->start().ok());
        EXPECT_TRUE(this->service->start().ok());
    }
    ~Node()
    {
        this->server->stop();
        this->service->stop();
    }

    AK::SystemClock clock;
    LibSettings::ProcessSettings settings;
    LibMetrics::MetricRegistry metrics;
    std::unique_ptr<LibMembership::MembershipService> service;
    std::unique_ptr<LibWire::RpcServer> server;
};

class MembershipServiceTest : public testing::Test
{
protected:
    void startNodes(int count)
    {
        for (int host = 1; host <= count; ++host) {
            this->startNode(host);
        }
    }
    void startNode(int host)
    {
        this->nodes[host] = std::make_unique<Node>(host, this->hosts, std::vector{rpcEndpoint(1), rpcEndpoint(2)});
    }
    static bool eventually(const std::function<bool()> &condition)
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
    /// Whether every node knows the member and the check holds for its record.
    bool everyNodeSees(int host, const std::function<bool(const Member &)> &check) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &row) {
            const auto member = row.second->service->find(AK::concat("p-", host));
            return member && check(*member);
        });
    }
    bool converged() const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &row) {
            return this->everyNodeSees(row.first, [](const Member &member) { return member.status == MemberStatus::Alive; });
        });
    }
    /// Sends records to one node as another member would in an exchange.
    void sendRecords(int host, const std::vector<Member> &records) const
    {
        std::thread([&] {
            const AK::SystemClock clock;
            const auto keys = std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "0123456789abcdef"}}, clock);
            auto connection = LibWire::RpcConnection::open(rpcEndpoint(host), {"tester", keys}, 5'000);
            ASSERT_TRUE(connection.ok()) << connection.status();
            auto call = (*connection)->node().exchangeRequest();
            auto request = call.initRequest();
            auto updates = request.initUpdates(static_cast<unsigned>(records.size()));
            for (unsigned i = 0; i < records.size(); ++i) {
                LibMembership::writeMember(records[i], updates[i]);
            }
            const auto reply = (*connection)->call(std::move(call), 5'000);
            ASSERT_TRUE(reply.ok()) << reply.status();
        }).join();
    }

    HostListDouble hosts;
    std::map<int, std::unique_ptr<Node>> nodes;
};

// Guards against two groups that formed separately while no seed answered and never find each other: the seeds start after the other nodes.
TEST_F(MembershipServiceTest, GroupsThatFormedWithoutASeedFindEachOther)
{
    this->hosts.set({{"p-3", rpcEndpoint(3).host, LibObjectStore::HostState::Live}, {"p-4", rpcEndpoint(4).host, LibObjectStore::HostState::Live}});
    this->startNode(3);
    this->startNode(4);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    this->hosts.set({});
    this->startNode(1);
    this->startNode(2);
    EXPECT_TRUE(eventually([this] { return this->converged(); }));
}

// Guards against a process that is in the host list and is never contacted by a seed or member.
TEST_F(MembershipServiceTest, HostsOfTheListThatAreNoMembersAreContacted)
{
    this->startNode(1);
    this->startNode(2);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    this->nodes[5] = std::make_unique<Node>(5, this->hosts, std::vector<AK::Endpoint>());
    this->hosts.set({{"p-5", rpcEndpoint(5).host, LibObjectStore::HostState::Live}});
    EXPECT_TRUE(eventually([this] { return this->converged(); }));
}

// Guards against members that some nodes never learn of, a dead member that stays alive in a table, and a replacement that is taken for its dead predecessor.
TEST_F(MembershipServiceTest, TwentyConvergeOneDiesAndIsReplaced)
{
    this->startNodes(20);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    const uint64_t firstInstance = this->nodes[7]->service->find("p-7")->instance;
    this->nodes.erase(7);
    EXPECT_TRUE(eventually([this] { return this->everyNodeSees(7, [](const Member &member) { return member.status == MemberStatus::Dead; }); }));
    EXPECT_TRUE(std::none_of(this->nodes.begin(), this->nodes.end(),
                             [](const auto &row) { return row.second->service->find(row.second->settings.name)->status != MemberStatus::Alive; }));
    this->startNode(7);
    EXPECT_TRUE(eventually(
        [&] { return this->everyNodeSees(7, [&](const Member &member) { return member.status == MemberStatus::Alive && member.instance > firstInstance; }); }));
    EXPECT_TRUE(eventually([this] { return this->converged(); }));
}

// Guards against a member that has left being listed as live again, on any other host, until it is declared dead.
TEST_F(MembershipServiceTest, MemberThatHasLeftIsNeverLiveAgain)
{
    this->startNodes(8);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    this->nodes[5]->service->announceLeaving();
    ASSERT_TRUE(eventually([this] { return this->everyNodeSees(5, [](const Member &member) { return member.status == MemberStatus::Leaving; }); }));
    this->nodes.erase(5);
    const auto neverLive = [this] {
        return this->everyNodeSees(5, [](const Member &member) { return member.status == MemberStatus::Leaving || member.status == MemberStatus::Dead; });
    };
    bool live = false;
    EXPECT_TRUE(eventually([&] {
        live = live || !neverLive();
        return this->everyNodeSees(5, [](const Member &member) { return member.status == MemberStatus::Dead; });
    }));
    EXPECT_FALSE(live);
}

// Guards against a restart that is faster than the suspicion being missed, so that others act on the old instance's record.
TEST_F(MembershipServiceTest, FastRestartReplacesTheInstance)
{
    this->startNodes(5);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    this->nodes[3]->service->updateSelf([](Member &own) { own.weightsRoot = "old"; });
    ASSERT_TRUE(eventually([this] { return this->everyNodeSees(3, [](const Member &member) { return member.weightsRoot == "old"; }); }));
    this->nodes.erase(3);
    this->startNode(3);
    EXPECT_TRUE(eventually(
        [this] { return this->everyNodeSees(3, [](const Member &member) { return member.status == MemberStatus::Alive && member.weightsRoot.empty(); }); }));
}

// Guards against a live member being excluded by a false report.
TEST_F(MembershipServiceTest, FalseReportIsRefuted)
{
    this->startNodes(6);
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    for (const MemberStatus status : {MemberStatus::Suspect, MemberStatus::Dead}) {
        Member report = *this->nodes[4]->service->find("p-4");
        report.status = status;
        this->sendRecords(2, {report});
        EXPECT_TRUE(eventually([&] {
            return this->everyNodeSees(4, [&](const Member &member) { return member.status == MemberStatus::Alive && member.sequence > report.sequence; });
        })) << "reported as "
            << AK::nameOf(LibMembership::memberStatusNames, status);
    }
}

// Guards against a process that reaches no seed and never joins, and against hosts that the platform removes still getting calls.
TEST_F(MembershipServiceTest, HostListIsUsedToJoinAndMarksLeavingHosts)
{
    this->hosts.set({{"h-1", rpcEndpoint(1).host, LibObjectStore::HostState::Live}});
    for (int host = 1; host <= 4; ++host) {
        this->nodes[host] = std::make_unique<Node>(host, this->hosts, std::vector{rpcEndpoint(99)});
    }
    ASSERT_TRUE(eventually([this] { return this->converged(); }));
    this->hosts.set({{"h-3", rpcEndpoint(3).host, LibObjectStore::HostState::Leaving}});
    EXPECT_TRUE(eventually([this] { return this->everyNodeSees(3, [](const Member &member) { return member.status == MemberStatus::Leaving; }); }));
    this->hosts.set({{"h-3", rpcEndpoint(3).host, LibObjectStore::HostState::Live}});
    EXPECT_TRUE(eventually([this] { return this->converged(); }));
}

// Guards against a process that publishes an unchanged record again and again, which every other process would forward.
TEST_F(MembershipServiceTest, UnchangedRecordKeepsItsSequence)
{
    this->startNode(1);
    LibMembership::MembershipService &service = *this->nodes[1]->service;
    service.updateSelf([](Member &own) { own.chunksHeld = 7; });
    const Member before = *service.find("p-1");
    service.updateSelf([](Member &own) { own.chunksHeld = 7; });
    EXPECT_EQ(service.find("p-1")->sequence, before.sequence);
    service.updateSelf([](Member &own) { own.chunksHeld = 8; });
    EXPECT_EQ(service.find("p-1")->sequence, before.sequence + 1);
}

// Guards against a leaving status that waits for gossip rounds. Gossip rounds are an hour apart here, so only the push can deliver it.
TEST_F(MembershipServiceTest, LeavingIsPushedAtOnce)
{
    std::vector<Member> all;
    for (int host = 1; host <= 20; ++host) {
        this->nodes[host] = std::make_unique<Node>(host, this->hosts, std::vector<AK::Endpoint>{}, 3'600'000);
        all.push_back(*this->nodes[host]->service->find(AK::concat("p-", host)));
    }
    for (const auto &[host, node] : this->nodes) {
        this->sendRecords(host, all);
    }
    ASSERT_TRUE(this->converged());
    this->nodes[5]->service->updateSelf([](Member &own) { own.status = MemberStatus::Leaving; });
    EXPECT_TRUE(eventually([this] { return this->everyNodeSees(5, [](const Member &member) { return member.status == MemberStatus::Leaving; }); }));
}

} // namespace
