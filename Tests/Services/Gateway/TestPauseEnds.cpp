#include "SlotSite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using Gateway::Dispatcher;

constexpr AK::Milliseconds pause = 1'000;
constexpr AK::Milliseconds step = 5;

void askForPause(const SlotSite &site, Dispatcher &dispatcher, AK::Milliseconds duration)
{
    LibGateway::ResponseInfo response;
    response.pause = duration;
    dispatcher.recordResponse(site.fleet.upstreams().at("i-2"), response, 0);
}

/// Entries that know nothing of each other's calls and share one plain upstream.
class Herd
{
public:
    Herd(SlotSite &site, int entries)
        : site(site)
    {
        std::map<std::string, LibFleet::EntryRecord> records;
        for (int i = 0; i < entries; ++i) {
            const std::string name = AK::concat("e", i);
            records[name] = {name, {Loopback::processHost(), 1}, {}, "lima", "lima-1"};
            this->entries.push_back(std::make_unique<Dispatcher>(site.loop, site.fleet, settingsOf(name, "lima"), nullptr));
        }
        site.fleet.setEntries(records);
    }

    /// Starts callers that come again as soon as they have been refused or served, until `until`.
    void startCallers(int callersPerEntry, AK::Milliseconds callTime, AK::Milliseconds until)
    {
        for (const auto &entry : this->entries) {
            for (int i = 0; i < callersPerEntry; ++i) {
                this->site.loop.spawn([this, callTime, until, &dispatcher = *entry](kj::WaitScope &scope) {
                    while (this->site.loop.clock().now() < until) {
                        this->callOnce(scope, dispatcher, callTime);
                        this->site.loop.sleep(scope, step);
                    }
                });
            }
        }
    }

    /// Most calls at once at the upstream before a time, and calls that began before it.
    int mostBefore(AK::Milliseconds time) const
    {
        int most = 0;
        for (const Begin &begin : this->begins) {
            most = begin.at < time ? std::max(most, begin.atOnce) : most;
        }
        return most;
    }

    int begunBefore(AK::Milliseconds time) const
    {
        return static_cast<int>(std::count_if(this->begins.begin(), this->begins.end(), [&](const Begin &begin) { return begin.at < time; }));
    }

    std::vector<std::unique_ptr<Dispatcher>> entries;

private:
    struct Begin {
        AK::Milliseconds at = 0;
        int atOnce = 0;
    };

    void callOnce(kj::WaitScope &scope, Dispatcher &dispatcher, AK::Milliseconds callTime)
    {
        Gateway::CallRequirements requirements = this->site.requirements(0);
        Gateway::GrantOrRefusal result = dispatcher.acquire(scope, requirements);
        if (result.grant != nullptr) {
            this->begins.push_back({this->site.loop.clock().now(), ++this->running});
            this->site.loop.sleep(scope, callTime);
            --this->running;
        }
    }

    SlotSite &site;
    std::vector<Begin> begins;
    int running = 0;
};

// Guards against all entries that send all of their calls at the moment at which the pause of a shared upstream ends.
TEST(PauseEnd, IsNoHerd)
{
    constexpr int entries = 8;
    constexpr int slots = 16;
    constexpr AK::Milliseconds callTime = 20;
    constexpr AK::Milliseconds moment = 25;
    constexpr AK::Milliseconds firstCalls = 150;
    // One, and another one in each fifteenth of a second.
    constexpr int callsOfEachAtFirst = 3;
    SlotSite site;
    LibFleet::UpstreamRecord record = engineRecord("i-2", "lima-1", 2);
    record.isEngine = false;
    record.slots = slots;
    site.fleet.setUpstreams({{"i-2", record}});
    Herd herd(site, entries);
    const AK::Milliseconds end = site.loop.clock().now() + pause;
    for (const auto &entry : herd.entries) {
        askForPause(site, *entry, pause);
    }
    const AK::Milliseconds until = end + LibGateway::PauseSettings().resumeSpread + LibGateway::PauseSettings().resumeTime + shortWait;
    herd.startCallers(slots, callTime, until);
    while (site.loop.clock().now() < until + shortWait) {
        site.loop.sleep(site.loop.rootScope(), step);
    }
    EXPECT_EQ(herd.begunBefore(end), 0);
    EXPECT_LE(herd.begunBefore(end + moment), entries) << "not all entries begin at once";
    EXPECT_LE(herd.mostBefore(end + firstCalls), callsOfEachAtFirst * entries);
    EXPECT_GT(herd.mostBefore(until), entries * slots / 2) << "the upstream is used again";
}

struct OwnerCase {
    const char *name;
    /// The restarted owner has sent a call of its own, which the engine has refused with a pause.
    bool ownerRefused;
    /// The owner does not come back, so that the other entry becomes the owner.
    bool ownerGone;
};

class RestartedOwnerTest : public testing::TestWithParam<OwnerCase>
{
};

// Guards against a pause that an entry forgets because the owner of the engine, which had one too, comes back without it or leaves the engine to the entry.
TEST_P(RestartedOwnerTest, LeavesThePausesOfOthersInForce)
{
    SlotSite site;
    site.fleet.setUpstreams({{"i-2", engineRecord("i-2", "cusco-1", 2)}});
    askForPause(site, site.first, pause);
    askForPause(site, site.second, pause);
    const AK::Milliseconds end = site.loop.clock().now() + pause;
    ASSERT_EQ(upstreamOf(site.acquire(site.first, site.requirements())), "");
    EXPECT_TRUE(site.second.offerSlot({"s", longPrompt, 0, false, {}, {}}) == nullptr);

    // The new process of the owner listens at another port.
    Dispatcher restarted(site.loop, site.fleet, settingsOf("e2", "cusco"), &site.secondClient);
    restarted.setRegions({{"lima-1", "lima"}, {"cusco-1", "cusco"}});
    restarted.setEntries({{"e1", "lima-1"}, {"e2", "cusco-1"}});
    LibPeers::PeerServer server(site.loop, site.handler, nullptr, &restarted);
    const AK::Endpoint address{Loopback::processHost(), GetParam().ownerRefused ? uint16_t{17'301} : uint16_t{17'302}};
    ASSERT_TRUE(server.listen(address).ok());
    std::map<std::string, LibFleet::EntryRecord> entries{{"e1", {"e1", {Loopback::processHost(), 1}, {}, "lima", "lima-1"}}};
    if (GetParam().ownerGone) {
        site.first.setEntries({{"e1", "lima-1"}});
    } else {
        entries["e2"] = {"e2", address, {}, "cusco", "cusco-1"};
    }
    site.fleet.setEntries(entries);
    if (GetParam().ownerRefused) {
        EXPECT_EQ(upstreamOf(site.acquire(restarted, site.requirements())), "i-2") << "the restarted owner can't know of the pause";
        askForPause(site, restarted, pause);
        EXPECT_EQ(upstreamOf(site.acquire(restarted, site.requirements())), "");
        EXPECT_TRUE(restarted.offerSlot({"s", longPrompt, 0, false, {}, {}}) == nullptr);
    }
    std::string reached;
    while (reached.empty() && site.loop.clock().now() < end + 10 * shortWait) {
        Gateway::CallRequirements requirements = site.requirements();
        requirements.startBy = site.loop.clock().now() + step;
        reached = upstreamOf(site.acquire(site.first, requirements));
        if (!reached.empty()) {
            EXPECT_GE(site.loop.clock().now(), end);
        }
        site.loop.sleep(site.loop.rootScope(), step);
    }
    EXPECT_EQ(reached, "i-2") << "the engine is used again after the pauses";
}

INSTANTIATE_TEST_SUITE_P(Table, RestartedOwnerTest,
                         testing::Values(OwnerCase{"back_without_the_pause", false, false}, OwnerCase{"back_and_refused", true, false},
                                         OwnerCase{"gone", false, true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
