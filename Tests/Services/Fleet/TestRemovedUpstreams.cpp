#include "ObjectFeedsSite.h"

#include <Fleet/PeerExchange.h>
#include <Loopback/ProcessHost.h>
#include <kj/debug.h>

namespace
{

using LibFleet::ObjectKind;
using LibFleet::ObjectPage;

/// A store that all entries share. A removal is the only change.
struct SharedStore {
    ObjectPage all{10, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}}};
    ObjectPage change;
    /// Nobody reaches it.
    bool away = false;
};

/// The access of one entry to the store.
class SharedSource final : public Fleet::ObjectSource
{
public:
    SharedSource(LibFiber::Loop &loop, SharedStore &store)
        : loop(loop)
        , store(store)
    {
    }

    absl::StatusOr<ObjectPage> list(kj::WaitScope &scope, ObjectKind kind) override
    {
        this->loop.sleep(scope, 1);
        if (this->cut || this->store.away) {
            return absl::UnavailableError("cut");
        }
        return kind == ObjectKind::Upstreams ? this->store.all : ObjectPage{this->store.all.position, {}};
    }

    absl::StatusOr<ObjectPage> watch(kj::WaitScope &scope, ObjectKind kind, int64_t since, AK::Milliseconds wait) override
    {
        const AK::Milliseconds until = this->loop.clock().now() + wait;
        while (this->loop.clock().now() < until) {
            this->loop.sleep(scope, 2);
            if (this->cut || this->store.away) {
                return absl::UnavailableError("cut");
            }
            if (kind == ObjectKind::Upstreams && this->store.change.position.revision > since) {
                return this->store.change;
            }
        }
        return ObjectPage{since, {}};
    }

    absl::Status put(kj::WaitScope &, ObjectKind, const std::string &, const std::string &) override
    {
        return absl::OkStatus();
    }

    absl::Status erase(kj::WaitScope &, ObjectKind, const std::string &) override
    {
        return absl::OkStatus();
    }

    bool cut = false;

private:
    LibFiber::Loop &loop;
    SharedStore &store;
};

constexpr uint16_t firstPort = 17'800;

/// One of several entries; one of them can be cut off from the store and the others.
class CutEntry final : public LibPeers::PeerHandler
{
public:
    CutEntry(LibFiber::Loop &loop, SharedStore &store, const std::string &cutName, const LibFleet::EntryRecord &record)
        : name(record.name)
        , source(loop, store)
        , fleet(loop.clock())
        , feeds(loop, this->source, this->decoder, this->fleet)
        , peers(loop, {record.name, record.failureDomain, record.region, record.rpcAddress, record.clientAddress, {}}, this->feeds, this->fleet)
        , cutName(cutName)
        , server(loop, *this, nullptr, nullptr)
    {
        KJ_ASSERT(this->server.listen(record.rpcAddress).ok());
        this->peers.completeStateWith([](LibPeers::NodeState &state) { state.ready = true; });
    }

    ~CutEntry() noexcept override = default;
    KJ_DISALLOW_COPY(CutEntry);

    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override
    {
        KJ_REQUIRE(this->name != this->cutName && from.name != this->cutName, "cut");
        return this->peers.exchange(from);
    }

    ObjectPage objects(ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart) override
    {
        return this->peers.objects(kind, newerThan, agentPart);
    }

    std::string name;
    SharedSource source;
    NameDecoder decoder;
    LibFleet::FleetState fleet;
    Fleet::ObjectFeeds feeds;
    Fleet::PeerExchange peers;

private:
    const std::string &cutName;
    LibPeers::PeerServer server;
};

class RemovedUpstreamTest : public testing::Test
{
protected:
    static constexpr size_t entryCount = 4;

    RemovedUpstreamTest()
    {
        std::map<std::string, LibFleet::EntryRecord> records;
        for (uint16_t i = 0; i < entryCount; ++i) {
            const std::string name = "e" + std::to_string(i);
            records[name] = {name, {Loopback::processHost(), static_cast<uint16_t>(firstPort + i)}, {Loopback::processHost(), 1}, "lima", "lima-1"};
        }
        for (const auto &[name, record] : records) {
            this->entries.push_back(std::make_unique<CutEntry>(this->loop, this->store, this->cutName, record));
            this->entries.back()->fleet.setEntries(records);
            this->entries.back()->feeds.watchStore();
            this->entries.back()->peers.start();
        }
    }

    ~RemovedUpstreamTest() noexcept override = default;

    /// Cuts off an entry that watches the store.
    void cutWatcher()
    {
        for (const auto &entry : this->entries) {
            if (this->cutName.empty() && entry->feeds.watchesStore(ObjectKind::Upstreams)) {
                this->cutName = entry->name;
                entry->source.cut = true;
            }
        }
    }

    void endCut()
    {
        this->cutName.clear();
        for (const auto &entry : this->entries) {
            entry->source.cut = false;
        }
    }

    void sleep(AK::Milliseconds duration)
    {
        this->loop.sleep(this->loop.rootScope(), duration);
    }

    void removeFirstUpstream()
    {
        this->store.all = {20, {{"b", "1", false, false, 9}}};
        this->store.change = {20, {{"a", "", true, false, 20}}};
    }

    /// Time until no entry has the first upstream in force, in ms; at most 10,000.
    AK::Milliseconds timeUntilRemoved()
    {
        const AK::Milliseconds begin = this->loop.clock().now();
        const auto hasIt = [](const auto &entry) {
            return entry->decoder.names != std::vector<std::string>{"b"};
        };
        while (std::any_of(this->entries.begin(), this->entries.end(), hasIt) && this->loop.clock().now() < begin + 10'000) {
            this->sleep(1);
        }
        return this->loop.clock().now() - begin;
    }

    LibFiber::Loop loop;
    SharedStore store;
    /// Name of the entry that is cut off, or empty.
    std::string cutName;
    std::vector<std::unique_ptr<CutEntry>> entries;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

// Guards against an entry that takes its own absence for one of the store: it ignored the removals of the next 2,300 ms, and its marks put the upstreams back
// in force at others.
TEST_F(RemovedUpstreamTest, IsOutOfForceSoonAfterACutEnds)
{
    constexpr AK::Milliseconds cutTime = 8'000;
    this->sleep(1'000);
    this->cutWatcher();
    this->sleep(cutTime);
    this->endCut();
    this->sleep(1'000);
    this->removeFirstUpstream();
    EXPECT_LE(this->timeUntilRemoved(), 1'000);
}

// Guards against entries that take each other's answers from before and after an outage for a steady store, and remove the upstreams whose leases lapsed.
TEST_F(RemovedUpstreamTest, StaysInForceAfterAnAbsenceOfTheStore)
{
    constexpr AK::Milliseconds awayTime = 4'000;
    // Longer than the pause between two calls to a store that does not answer.
    constexpr AK::Milliseconds recoveryTime = 1'000;
    this->sleep(LibFleet::expiredLeaseGrace + 200);
    this->store.away = true;
    this->sleep(awayTime);
    this->removeFirstUpstream();
    this->store.away = false;
    this->sleep(recoveryTime);
    for (const auto &entry : this->entries) {
        EXPECT_EQ(entry->decoder.names, (std::vector<std::string>{"a", "b"})) << entry->name;
    }
    EXPECT_LE(this->timeUntilRemoved(), LibFleet::expiredLeaseGrace) << "graces don't add up";
}

struct EvidenceCase {
    const char *name;
    /// Whether others tell of a steady store before the store has answered, or afterwards.
    bool toldBefore;
    bool toldAfter;
    bool kept;
};

class SteadyStoreTest : public ObjectFeedsTest, public testing::WithParamInterface<EvidenceCase>
{
protected:
    void tellSteadyStore()
    {
        const AK::Milliseconds now = this->loop.clock().now();
        this->feeds.noteSteadyStore({now - 60'000, now}, "peer");
    }
};

// Guards against an entry that has been on standby, so that its last answer is old, and takes one cut watch for an absence in which leases lapsed; and against
// one that learns only after the first answer that the store was there.
TEST_P(SteadyStoreTest, EndsTheGraceOfAnAbsenceOfThisProcess)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->feeds.setWatching(false);
    // Ends the watch that is waiting.
    this->source.change = {15, {}};
    this->loop.sleep(this->loop.rootScope(), 4 * LibFleet::shortestLapse(times.leaseRenewal));
    this->source.change = {};
    if (GetParam().toldBefore) {
        this->tellSteadyStore();
    }
    this->source.watchEnd = absl::UnavailableError("reset");
    this->source.all = {20, {{"b", "1", false}}};
    this->feeds.setWatching(true);
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams).revision == 20; }));
    if (GetParam().toldAfter) {
        this->tellSteadyStore();
    }
    EXPECT_EQ(this->decoder.names.size(), GetParam().kept ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Table, SteadyStoreTest,
                         testing::Values(EvidenceCase{"not_told", false, false, true}, EvidenceCase{"told_on_standby", true, false, false},
                                         EvidenceCase{"told_in_the_grace", false, true, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an upstream that stays in force at a process which learned of its mark while the store was there for others.
TEST_P(SteadyStoreTest, EndsTheGraceOfMarks)
{
    this->feeds.accept(ObjectKind::Upstreams, {20, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}}}, "peer");
    if (GetParam().toldBefore) {
        this->tellSteadyStore();
    }
    this->feeds.accept(ObjectKind::Upstreams, {21, {{"a", "1", false, true, 0, false, 2'000}, {"b", "1", false, false, 9}}}, "peer");
    if (GetParam().toldAfter) {
        this->tellSteadyStore();
    }
    EXPECT_EQ(this->decoder.names.size(), GetParam().kept ? 2U : 1U);
}

struct MarkCase {
    const char *name;
    /// Spec of the upstream in the mark of the other process.
    const char *marked;
    /// The store of this process was away when the mark comes.
    bool storeAway;
    bool inForce;
};

class MarkTest : public ObjectFeedsTest, public testing::WithParamInterface<MarkCase>
{
};

// Guards against a mark of a process that was cut off, which puts an upstream back in force at one that knows it to be removed from the store.
TEST_P(MarkTest, PutsBackOnlyWhatMayHaveBeenMissed)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->source.change = {20, {{"a", "", true}}};
    ASSERT_TRUE(this->waitForNames({"b"}));
    this->source.all = {20, {{"b", "1", false}}};
    if (GetParam().storeAway) {
        ASSERT_TRUE(this->loseStore());
    }
    constexpr AK::Milliseconds graceLeft = 200;
    this->feeds.accept(ObjectKind::Upstreams, {21, {{"a", GetParam().marked, false, true, 0, false, graceLeft}, {"b", "1", false}}}, "peer");
    EXPECT_EQ(this->decoder.names, GetParam().inForce ? (std::vector<std::string>{"a", "b"}) : std::vector<std::string>{"b"});
    const AK::Milliseconds begin = this->loop.clock().now();
    this->source.down = false;
    EXPECT_TRUE(this->waitForNames({"b"}));
    if (!GetParam().storeAway) {
        EXPECT_LT(this->loop.clock().now() - begin, 2 * graceLeft) << "ends with the grace of the sender";
    }
}

INSTANTIATE_TEST_SUITE_P(Table, MarkTest,
                         testing::Values(MarkCase{"removed", "1", false, false}, MarkCase{"registered_again_since", "2", false, true},
                                         MarkCase{"store_was_away", "1", true, true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
