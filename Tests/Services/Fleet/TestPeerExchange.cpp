#include <Fleet/PeerExchange.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <kj/debug.h>

namespace
{

using LibFleet::ObjectKind;

constexpr int64_t newest = 5;

// Time after which a watch returns a change.
constexpr AK::Milliseconds storeDelay = 300;

/// A store that is unreachable, or one that reports the newest configuration later than the other entries.
class SlowSource final : public Fleet::ObjectSource
{
public:
    SlowSource(LibFiber::Loop &loop, bool reachable, AK::Milliseconds listDuration = 1, int64_t listRevision = 1)
        : loop(loop)
        , reachable(reachable)
        , listDuration(listDuration)
        , listRevision(listRevision)
    {
    }

    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, ObjectKind) override
    {
        this->loop.sleep(scope, this->listDuration);
        return this->reachable ? absl::StatusOr<LibFleet::ObjectPage>(LibFleet::ObjectPage{this->listRevision, {}}) : absl::UnavailableError("unreachable");
    }
    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, ObjectKind kind, int64_t since, AK::Milliseconds) override
    {
        this->loop.sleep(scope, storeDelay);
        const bool change = kind == ObjectKind::Configuration && since < newest;
        return change ? LibFleet::ObjectPage{newest, {{"main", "{}", false}}} : LibFleet::ObjectPage{since, {}};
    }
    absl::Status put(kj::WaitScope &, ObjectKind, const std::string &, const std::string &) override
    {
        return absl::UnavailableError("unreachable");
    }
    absl::Status erase(kj::WaitScope &, ObjectKind, const std::string &) override
    {
        return absl::UnavailableError("unreachable");
    }

private:
    LibFiber::Loop &loop;
    bool reachable;
    AK::Milliseconds listDuration;
    int64_t listRevision;
};

class RecordingDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(ObjectKind kind, const std::map<std::string, std::string> &specs, AK::Milliseconds, LibFleet::FleetState &) override
    {
        if (kind == ObjectKind::Configuration) {
            this->specs = specs;
        }
    }
    std::string agentPart(ObjectKind, const std::string &spec) const override
    {
        return spec;
    }
    std::string encodeEntry(const LibFleet::EntryRecord &) const override
    {
        return "{}";
    }
    std::map<std::string, std::string> specs;
};

/// Another entry that has the newest configuration, or none.
class OtherEntry final : public LibPeers::PeerHandler
{
public:
    OtherEntry(LibFiber::Loop &loop, std::string name, const AK::Endpoint &address, bool hasNewest)
        : name(std::move(name))
        , address(address)
        , hasNewest(hasNewest)
        , server(loop, *this, nullptr, nullptr)
    {
        KJ_ASSERT(this->server.listen(address).ok());
    }

    ~OtherEntry() noexcept override = default;
    KJ_DISALLOW_COPY(OtherEntry);

    LibPeers::NodeState exchange(const LibPeers::NodeState &) override
    {
        ++this->exchanges;
        LibPeers::NodeState state;
        state.name = this->name;
        state.rpcAddress = this->address.text();
        state.clientAddress = "127.0.0.1:1";
        state.revisions[static_cast<size_t>(ObjectKind::Configuration)] = this->hasNewest ? newest : 0;
        state.weightsTargets = this->weightsTargets;
        return state;
    }

    LibFleet::ObjectPage objects(ObjectKind, LibFleet::StorePosition, bool agentPart) override
    {
        ++this->reads;
        this->agentPartReads += agentPart ? 1 : 0;
        return {newest, {{"main", "{}", false}}};
    }

    std::string name;
    AK::Endpoint address;
    bool hasNewest;
    std::vector<LibFleet::WeightsTargetAge> weightsTargets;
    LibPeers::PeerServer server;
    int exchanges = 0;
    int reads = 0;
    int agentPartReads = 0;
};

struct ReadCase {
    const char *name;
    bool agent;
    bool watchesStore;
    /// Whether the two entries of the own region and the one of another region have the newest configuration.
    std::vector<bool> hasNewest;
    int sameRegionReads;
    int crossRegionReads;
};

class ObjectReadTest : public testing::TestWithParam<ReadCase>
{
};

// Guards against a large configuration that each process reads from every other one over the link between two regions: the link was saturated for 8 s, entries
// used a configuration that was 4 s too old, and calls went to versions of the weights that were no longer allowed.
TEST_P(ObjectReadTest, ReadsFromAnotherRegionOnlyWhenNoEntryOfTheOwnHasIt)
{
    static uint16_t port = 17'600;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, GetParam().watchesStore);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    std::vector<std::unique_ptr<OtherEntry>> others;
    std::map<std::string, LibFleet::EntryRecord> records;
    for (size_t i = 0; i < GetParam().hasNewest.size(); ++i) {
        const std::string name = "e" + std::to_string(i);
        const AK::Endpoint address{Loopback::processHost(), ++port};
        others.push_back(std::make_unique<OtherEntry>(loop, name, address, GetParam().hasNewest[i]));
        records[name] = {name, address, {Loopback::processHost(), 1}, i < 2 ? "lima" : "cusco", i < 2 ? "lima-1" : "cusco-1"};
    }
    fleet.setEntries(records);
    Fleet::PeerExchange::Settings settings{"self", "lima-1", "lima", {Loopback::processHost(), ++port}, std::nullopt, {}};
    if (!GetParam().agent) {
        settings.clientAddress = AK::Endpoint{Loopback::processHost(), 2};
    }
    Fleet::PeerExchange exchange(loop, settings, feeds, fleet);
    if (GetParam().watchesStore) {
        feeds.watchStore();
        loop.sleep(loop.rootScope(), storeDelay / 10);
    }
    exchange.start();
    constexpr AK::Milliseconds longEnough = 1'500;
    loop.sleep(loop.rootScope(), longEnough);
    EXPECT_EQ(decoder.specs.size(), 1U);
    EXPECT_EQ(others[0]->reads + others[1]->reads, GetParam().sameRegionReads);
    EXPECT_EQ(others[2]->reads, GetParam().crossRegionReads);
    EXPECT_EQ(others[0]->agentPartReads + others[1]->agentPartReads + others[2]->agentPartReads, GetParam().agent ? 1 : 0);
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, ObjectReadTest,
                         testing::Values(ReadCase{"all_have_it", true, false, {true, true, true}, 1, 0},
                                         ReadCase{"entry_without_store", false, false, {true, true, true}, 1, 0},
                                         ReadCase{"one_in_own_region", true, false, {false, true, true}, 1, 0},
                                         ReadCase{"only_other_region", true, false, {false, false, true}, 0, 1},
                                         ReadCase{"store_delivers_it", false, true, {true, true, true}, 0, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a change that waits for the next exchange, which another process may begin only half a second later.
TEST(PeerExchange, ReadsAtOnceWhatAnotherEntryAnnounces)
{
    constexpr uint16_t otherPort = 17'691;
    constexpr uint16_t ownPort = 17'692;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, false);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    OtherEntry other(loop, "e1", {Loopback::processHost(), otherPort}, true);
    Fleet::PeerExchange exchange(loop, {"self", "lima-1", "lima", {Loopback::processHost(), ownPort}, AK::Endpoint{Loopback::processHost(), 2}, {}}, feeds,
                                 fleet);
    // Not started, so that it calls no other process of its own accord.
    exchange.exchange(other.exchange({}));
    constexpr AK::Milliseconds shorterThanAnInterval = 200;
    const AK::Milliseconds until = loop.clock().now() + shorterThanAnInterval;
    while (decoder.specs.empty() && loop.clock().now() < until) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_EQ(decoder.specs.size(), 1U);
    EXPECT_EQ(other.reads, 1);
    loop.cancelSpawned();
}

// Guards against a withdrawn key, or an upstream that has left, that is in use again after a restart: a peer that lags behind answered before the store.
TEST(PeerExchange, PrefersTheStoreToAPeerAfterARestart)
{
    constexpr uint16_t otherPort = 17'693;
    constexpr uint16_t ownPort = 17'694;
    constexpr AK::Milliseconds listDuration = 150;
    constexpr AK::Milliseconds longEnough = 700;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, true, listDuration, newest + 1);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    OtherEntry other(loop, "e1", {Loopback::processHost(), otherPort}, true);
    fleet.setEntries({{"e1", {"e1", other.address, {Loopback::processHost(), 1}, "lima", "lima-1"}}});
    Fleet::PeerExchange exchange(loop, {"self", "lima-1", "lima", {Loopback::processHost(), ownPort}, AK::Endpoint{Loopback::processHost(), 2}, {}}, feeds,
                                 fleet);
    feeds.watchStore();
    exchange.start();
    loop.sleep(loop.rootScope(), longEnough);
    EXPECT_EQ(other.reads, 0);
    EXPECT_EQ(feeds.position(ObjectKind::Configuration), newest + 1);
    loop.cancelSpawned();
}

// Guards against an entry that counts the age of new weights from the end of its standstill, and so uses the older ones for too long.
TEST(PeerExchange, TakesTheAgeOfWeightsFromAnEntryThatLearnedFirst)
{
    constexpr uint16_t otherPort = 17'695;
    constexpr uint16_t ownPort = 17'696;
    constexpr AK::Milliseconds toldAge = 3'000;
    constexpr AK::Milliseconds limit = 2'000;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, false);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    OtherEntry other(loop, "e1", {Loopback::processHost(), otherPort}, false);
    other.weightsTargets = {{"m", 2, toldAge}};
    fleet.setEntries({{"e1", {"e1", other.address, {Loopback::processHost(), 1}, "lima", "lima-1"}}});
    fleet.setWeightsTargets({}, 0);
    fleet.setWeightsTargets({{"m", 2}}, 0);
    Fleet::PeerExchange exchange(loop, {"self", "lima-1", "lima", {Loopback::processHost(), ownPort}, AK::Endpoint{Loopback::processHost(), 2}, {}}, feeds,
                                 fleet);
    exchange.start();
    const auto age = [&] {
        return loop.clock().uninterruptedTime() - fleet.weightsTargets("m").back().learnedAt;
    };
    const AK::Milliseconds until = loop.clock().now() + limit;
    while (age() < toldAge && loop.clock().now() < until) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_GE(age(), toldAge);
    const LibPeers::NodeState told = exchange.exchange({});
    ASSERT_EQ(told.weightsTargets.size(), 1U) << "it tells the others";
    EXPECT_GE(told.weightsTargets[0].age, toldAge);
    loop.cancelSpawned();
}

// Guards against an entry that starts after two namings and learns of the second one alone, so that it uses the weights before the first for too long.
TEST(PeerExchange, LearnsOfSupersededWeightsFromAnotherProcess)
{
    constexpr uint16_t otherPort = 17'697;
    constexpr uint16_t ownPort = 17'698;
    constexpr AK::Milliseconds firstAge = 5'000;
    constexpr AK::Milliseconds secondAge = 2'900;
    constexpr AK::Milliseconds limit = 2'000;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, false);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    OtherEntry other(loop, "e1", {Loopback::processHost(), otherPort}, false);
    other.weightsTargets = {{"m", 2, firstAge}, {"m", 3, secondAge}};
    fleet.setEntries({{"e1", {"e1", other.address, {Loopback::processHost(), 1}, "lima", "lima-1"}}});
    fleet.setWeightsTargets({{"m", 3}}, 0);
    Fleet::PeerExchange exchange(loop, {"self", "lima-1", "lima", {Loopback::processHost(), ownPort}, AK::Endpoint{Loopback::processHost(), 2}, {}}, feeds,
                                 fleet);
    exchange.start();
    const AK::Milliseconds until = loop.clock().now() + limit;
    while (fleet.weightsTargets("m").size() < 2 && loop.clock().now() < until) {
        loop.sleep(loop.rootScope(), 1);
    }
    ASSERT_EQ(fleet.weightsTargets("m").size(), 2U);
    EXPECT_EQ(fleet.weightsTargets("m").front().version, 2);
    EXPECT_GE(loop.clock().uninterruptedTime() - fleet.weightsTargets("m").front().learnedAt, firstAge);
    loop.cancelSpawned();
}

// Guards against an owner that gets no reports of its engine after its restart: its agent knew only the entries that it exchanged with, and found the others
// again by chance, one a second.
TEST(PeerExchange, AgentsComeBackToAnOwnerThatHasRestarted)
{
    constexpr uint16_t firstPort = 17'700;
    constexpr int entryCount = 12;
    constexpr AK::Milliseconds downTime = 2'500;
    constexpr AK::Milliseconds returnLimit = 4'000;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    RecordingDecoder decoder;
    SlowSource source(loop, false);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    std::map<std::string, LibFleet::EntryRecord> records;
    std::vector<LibFleet::EntryLocation> locations;
    for (int i = 0; i < entryCount; ++i) {
        const std::string name = "e" + std::to_string(i);
        records[name] = {name, {Loopback::processHost(), static_cast<uint16_t>(firstPort + i)}, {Loopback::processHost(), 1}, "lima", "lima-1"};
        locations.push_back({name, "lima-1", "lima"});
    }
    fleet.setEntries(records);
    LibFleet::UpstreamRecord engine;
    engine.id = "i-1";
    engine.address = {Loopback::processHost(), 3};
    fleet.setUpstreams({{"i-1", engine}});
    const LibFleet::EntryRecord owner = records.at(LibFleet::rankOwners("i-1", "lima-1", locations).front().name);
    Fleet::PeerExchange::Settings settings{"agent", "lima-1", "lima", {Loopback::processHost(), firstPort + entryCount}, std::nullopt, {}, engine.address};
    Fleet::PeerExchange exchange(loop, settings, feeds, fleet);
    exchange.start();
    loop.sleep(loop.rootScope(), downTime);
    OtherEntry restarted(loop, owner.name, owner.rpcAddress, false);
    const AK::Milliseconds until = loop.clock().now() + returnLimit;
    while (restarted.exchanges == 0 && loop.clock().now() < until) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_GT(restarted.exchanges, 0);
    loop.cancelSpawned();
}

struct WatcherCase {
    const char *name;
    /// Other entries of the region, and whether each of them reaches the store.
    std::vector<bool> reachStore;
    /// How many of all entries of the region watch the store when each knows the others.
    size_t watchers;
};

class StoreWatcherTest : public testing::TestWithParam<WatcherCase>
{
};

// Guards against a region in which no entry watches the store, and against more than two that do.
TEST_P(StoreWatcherTest, AreTwoEntriesThatReachTheStore)
{
    std::vector<LibFleet::EntryLocation> all;
    std::vector<LibFleet::EntryLocation> reaching;
    for (size_t i = 0; i < GetParam().reachStore.size(); ++i) {
        all.push_back({"e" + std::to_string(i), "lima-1", "lima"});
        if (GetParam().reachStore[i]) {
            reaching.push_back(all.back());
        }
    }
    size_t watchers = 0;
    for (const LibFleet::EntryLocation &entry : reaching) {
        std::vector<LibFleet::EntryLocation> others = reaching;
        std::erase(others, entry);
        others.push_back({"remote", "cusco-1", "cusco"});
        watchers += LibFleet::watchesStore(entry, others, LibFleet::PartnerSettings{}) ? 1 : 0;
    }
    EXPECT_EQ(watchers, GetParam().watchers);
}

INSTANTIATE_TEST_SUITE_P(Table, StoreWatcherTest,
                         testing::Values(WatcherCase{"alone", {true}, 1}, WatcherCase{"two", {true, true}, 2},
                                         WatcherCase{"twelve", std::vector<bool>(12, true), 2},
                                         WatcherCase{"most_are_refused", {false, false, true, false, true, false, true}, 2},
                                         WatcherCase{"all_but_one_refused", {false, false, true}, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
