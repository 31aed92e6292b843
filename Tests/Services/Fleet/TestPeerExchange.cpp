#include <Fleet/PeerExchange.h>
#include <gtest/gtest.h>
#include <kj/debug.h>

namespace
{

using LibFleet::ObjectKind;

constexpr int64_t newest = 5;

// Time that the store needs to tell of a change.
constexpr AK::Milliseconds storeDelay = 300;

/// A store that is away, or one that tells of the newest configuration a moment later than the other entries.
class SlowSource final : public Fleet::ObjectSource
{
public:
    SlowSource(LibFiber::Loop &loop, bool reachable)
        : loop(loop)
        , reachable(reachable)
    {
    }

    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, ObjectKind) override
    {
        this->loop.sleep(scope, 1);
        return this->reachable ? absl::StatusOr<LibFleet::ObjectPage>(LibFleet::ObjectPage{1, {}}) : absl::UnavailableError("away");
    }
    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, ObjectKind kind, int64_t since) override
    {
        this->loop.sleep(scope, storeDelay);
        const bool change = kind == ObjectKind::Configuration && since < newest;
        return change ? LibFleet::ObjectPage{newest, {{"main", "{}", false}}} : LibFleet::ObjectPage{since, {}};
    }
    absl::Status put(kj::WaitScope &, ObjectKind, const std::string &, const std::string &) override
    {
        return absl::UnavailableError("away");
    }
    absl::Status erase(kj::WaitScope &, ObjectKind, const std::string &) override
    {
        return absl::UnavailableError("away");
    }

private:
    LibFiber::Loop &loop;
    bool reachable;
};

class KeepingDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(ObjectKind kind, const std::map<std::string, std::string> &specs, LibFleet::FleetState &) override
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

/// Another entry that holds the newest configuration, or none.
class OtherEntry final : public LibPeers::PeerHandler
{
public:
    OtherEntry(LibFiber::Loop &loop, std::string name, const AK::Endpoint &address, bool newer)
        : name(std::move(name))
        , address(address)
        , newer(newer)
        , server(loop, *this, nullptr, nullptr)
    {
        KJ_ASSERT(this->server.listen(address).ok());
    }

    ~OtherEntry() noexcept override = default;
    KJ_DISALLOW_COPY(OtherEntry);

    LibPeers::NodeState exchange(const LibPeers::NodeState &) override
    {
        LibPeers::NodeState state;
        state.name = this->name;
        state.rpcAddress = this->address.text();
        state.clientAddress = "127.0.0.1:1";
        state.revisions[static_cast<size_t>(ObjectKind::Configuration)] = this->newer ? newest : 0;
        return state;
    }

    LibFleet::ObjectPage objects(ObjectKind, int64_t, bool agentPart) override
    {
        ++this->reads;
        this->readsOfParts += agentPart ? 1 : 0;
        return {newest, {{"main", "{}", false}}};
    }

    std::string name;
    AK::Endpoint address;
    bool newer;
    LibPeers::PeerServer server;
    int reads = 0;
    int readsOfParts = 0;
};

struct ReadCase {
    const char *name;
    bool agent;
    bool watchesStore;
    /// Whether the entries near, near and far have the newest configuration.
    std::vector<bool> newer;
    int nearReads;
    int farReads;
};

class ObjectReadTest : public testing::TestWithParam<ReadCase>
{
};

// Guards against a large configuration that each process reads from every other one over the link between two regions: it was full for eight seconds, entries
// worked by a configuration that was four seconds too old and sent calls to weights whose time was over (CONFIG 15 times and VERSION on scale-1, seed
// 486344431706, of the grown Costilla Luz).
TEST_P(ObjectReadTest, CrossesRegionsOnlyWhenNobodyNearHasIt)
{
    static uint16_t port = 17'600;
    LibFiber::Loop loop;
    LibFleet::FleetState fleet(loop.clock());
    KeepingDecoder decoder;
    SlowSource source(loop, GetParam().watchesStore);
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    std::vector<std::unique_ptr<OtherEntry>> others;
    std::map<std::string, LibFleet::EntryRecord> records;
    for (size_t i = 0; i < GetParam().newer.size(); ++i) {
        const std::string name = "e" + std::to_string(i);
        const AK::Endpoint address{"127.0.0.1", ++port};
        others.push_back(std::make_unique<OtherEntry>(loop, name, address, GetParam().newer[i]));
        records[name] = {name, address, {"127.0.0.1", 1}, i < 2 ? "lima" : "cusco", i < 2 ? "lima-1" : "cusco-1"};
    }
    fleet.setEntries(records);
    Fleet::PeerExchange::Settings settings{"self", "lima-1", "lima", {"127.0.0.1", ++port}, std::nullopt, {}};
    if (!GetParam().agent) {
        settings.clientAddress = AK::Endpoint{"127.0.0.1", 2};
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
    EXPECT_EQ(others[0]->reads + others[1]->reads, GetParam().nearReads);
    EXPECT_EQ(others[2]->reads, GetParam().farReads);
    EXPECT_EQ(others[0]->readsOfParts + others[1]->readsOfParts + others[2]->readsOfParts, GetParam().agent ? 1 : 0);
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, ObjectReadTest,
                         testing::Values(ReadCase{"all_have_it", true, false, {true, true, true}, 1, 0},
                                         ReadCase{"entry_without_store", false, false, {true, true, true}, 1, 0},
                                         ReadCase{"one_near", true, false, {false, true, true}, 1, 0},
                                         ReadCase{"only_far", true, false, {false, false, true}, 0, 1},
                                         ReadCase{"store_brings_it", false, true, {true, true, true}, 0, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
