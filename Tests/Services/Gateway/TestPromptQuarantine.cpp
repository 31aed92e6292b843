#include <Gateway/QuarantineKeeper.h>
#include <gtest/gtest.h>
#include <memory>
#include <platform/ObjectCodec.h>

namespace
{

using namespace Gateway;

using Parts = std::vector<std::string>;

/// A store that all entries share and that passes each change on at once. It can be out of service.
class SharedStore final : public Fleet::ObjectSource
{
public:
    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/) override
    {
        return LibFleet::ObjectPage{};
    }
    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/, int64_t /*since*/, AK::Milliseconds /*wait*/) override
    {
        return LibFleet::ObjectPage{};
    }
    absl::Status put(kj::WaitScope & /*scope*/, LibFleet::ObjectKind kind, const std::string &name, const std::string &spec) override
    {
        const bool isPart = name != LibFleet::storedCrashesName;
        ++(isPart ? this->writes : this->crashWrites);
        EXPECT_EQ(kind, LibFleet::ObjectKind::QuarantinedParts);
        if (this->down) {
            return absl::UnavailableError("down");
        }
        if (isPart) {
            this->parts.insert(name);
            this->lost.erase(name);
        } else {
            this->crashes = spec;
        }
        this->publish();
        return absl::OkStatus();
    }
    absl::Status erase(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/, const std::string &name) override
    {
        ++this->writes;
        this->parts.erase(name);
        this->publish();
        return absl::OkStatus();
    }

    /// The store comes back from a copy without its parts. Readers keep a part that the copy lacks for a grace time (LibFleet::RestoredCopy).
    void loseParts()
    {
        this->lost.merge(this->parts);
        this->parts.clear();
    }

    void publish()
    {
        std::set<std::string> inForce = this->parts;
        inForce.insert(this->lost.begin(), this->lost.end());
        for (LibFleet::FleetState *reader : this->readers) {
            reader->setQuarantinedParts(inForce);
            reader->setStoredCrashes(this->crashes);
        }
    }

    std::set<std::string> parts;
    std::set<std::string> lost;
    std::string crashes;
    std::vector<LibFleet::FleetState *> readers;
    bool down = false;
    /// Of parts, and of crashes.
    int writes = 0;
    int crashWrites = 0;
};

/// What an entry has for its quarantine.
struct EntryFixture {
    EntryFixture(LibFiber::Loop &loop, SharedStore &store)
        : fleet(loop.clock())
        , quarantine(loop.clock(), fleet)
        , keeper(loop, store, fleet, quarantine, [&store](const std::string &part) { return store.parts.contains(part); })
    {
        store.readers.push_back(&this->fleet);
        store.publish();
        this->keeper.start();
    }

    LibFleet::FleetState fleet;
    PromptQuarantine quarantine;
    QuarantineKeeper keeper;
};

class QuarantineSite
{
public:
    explicit QuarantineSite(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            this->entries.push_back(std::make_unique<EntryFixture>(this->loop, this->store));
            this->names.push_back("e" + std::to_string(i));
        }
        for (size_t i = 0; i < count; ++i) {
            this->entries[i]->keeper.setEntries(this->names[i], this->names);
        }
    }

    ~QuarantineSite()
    {
        this->loop.cancelSpawned();
    }

    /// A crash that one entry saw, by a call that it sent after the crash before.
    void crash(size_t entry, const Parts &parts)
    {
        this->crash(entry, parts, this->crashes + 1);
    }

    void crash(size_t entry, const Parts &parts, uint64_t prompt)
    {
        this->sleep(2);
        ++this->crashes;
        const AK::Milliseconds now = this->loop.clock().now();
        this->entries[entry]->quarantine.recordCrash({"i-" + std::to_string(this->crashes), now, {{prompt, now - 1, parts}}});
    }

    /// Each entry tells its neighbour, as often as it takes until all know.
    void exchange()
    {
        for (size_t round = 0; round < this->entries.size(); ++round) {
            for (size_t i = 0; i < this->entries.size(); ++i) {
                LibPeers::NodeState state;
                this->entries[i]->quarantine.addTo(state);
                this->entries[(i + 1) % this->entries.size()]->quarantine.record(state);
            }
        }
    }

    size_t entriesThatQuarantine(const std::string &part) const
    {
        return static_cast<size_t>(std::count_if(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
            return entry->quarantine.isQuarantined({"a1", part});
        }));
    }

    void sleep(AK::Milliseconds duration)
    {
        this->loop.sleep(this->loop.rootScope(), duration);
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        constexpr AK::Milliseconds limit = 5'000;
        const AK::Milliseconds until = this->loop.clock().now() + limit;
        while (!condition() && this->loop.clock().now() < until) {
            this->sleep(5);
        }
        return condition();
    }

    LibFiber::Loop loop;
    SharedStore store;
    std::vector<std::unique_ptr<EntryFixture>> entries;
    std::vector<std::string> names;
    uint64_t crashes = 0;
};

struct SpreadCase {
    const char *name;
    size_t entries;
    size_t crashes;
    bool found;
};

class SpreadTest : public testing::TestWithParam<SpreadCase>
{
};

// Guards against a part that no entry finds because each of them sees too few of the crashes.
TEST_P(SpreadTest, EntriesJudgeTheCrashesOfAll)
{
    QuarantineSite site(GetParam().entries);
    for (size_t i = 0; i < GetParam().crashes; ++i) {
        site.crash(i % GetParam().entries, {"a1", "bad"});
    }
    site.exchange();
    EXPECT_EQ(site.entriesThatQuarantine("bad"), GetParam().found ? GetParam().entries : 0);
    EXPECT_EQ(site.entriesThatQuarantine("c2"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Table, SpreadTest,
                         testing::Values(SpreadCase{"one_entry", 1, 3, true}, SpreadCase{"a_crash_for_each_entry", 4, 4, true},
                                         SpreadCase{"two_crashes", 4, 2, false}, SpreadCase{"many_entries", 40, 5, true}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a part that is sent to upstreams again after all entries have been restarted, and against as many writes as there are entries.
TEST(PromptQuarantine, OutlivesEveryEntry)
{
    QuarantineSite site(4);
    for (size_t i = 0; i < 4; ++i) {
        site.crash(i, {"a1", "bad"});
    }
    site.exchange();
    ASSERT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad"); }));
    EXPECT_EQ(site.store.writes, 1);
    EXPECT_LE(site.store.crashWrites, 1);
    site.entries.push_back(std::make_unique<EntryFixture>(site.loop, site.store));
    EXPECT_TRUE(site.entries.back()->quarantine.isQuarantined({"bad"}));
}

// Guards against a part that is never found because the entries that saw its crashes have been restarted, and against as many writes as there are entries.
TEST(PromptQuarantine, CrashesOutliveEveryEntry)
{
    QuarantineSite site(4);
    // One prompt, sent twice.
    site.crashes = 10;
    site.crash(0, {"bad"}, 7);
    site.crash(1, {"bad"}, 7);
    site.exchange();
    ASSERT_TRUE(site.waitUntil([&] { return !site.store.crashes.empty(); }));
    // Entries that come later in turn had no reason to write.
    site.sleep(1'500);
    EXPECT_EQ(site.store.crashWrites, 1);
    site.entries.push_back(std::make_unique<EntryFixture>(site.loop, site.store));
    // The others stay, because their fibers run on, but tell it nothing.
    site.crash(site.entries.size() - 1, {"bad"}, 8);
    EXPECT_TRUE(site.entries.back()->quarantine.isQuarantined({"bad"}));
}

// Guards against a part that is found again by its old crashes after it has been released.
TEST(PromptQuarantine, ReleasedPartsLeaveTheStoredCrashes)
{
    QuarantineSite site(2);
    for (size_t i = 0; i < 4; ++i) {
        site.crash(i % 2, {"bad"});
    }
    site.exchange();
    ASSERT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad") && site.store.crashes.find("bad") != std::string::npos; }));
    // By an operator.
    site.store.parts.erase("bad");
    site.store.publish();
    EXPECT_TRUE(site.waitUntil([&] { return site.store.crashes.find("bad") == std::string::npos; }));
    EXPECT_TRUE(site.store.parts.empty());
}

class LostPartTest : public testing::TestWithParam<AK::Milliseconds>
{
};

// Guards against a part that is sent to upstreams again because the store came back from a copy without it: it is in force, and nobody writes it again.
TEST_P(LostPartTest, IsStoredAgain)
{
    QuarantineSite site(4);
    for (size_t i = 0; i < 4; ++i) {
        site.crash(i, {"a1", "bad"});
    }
    site.sleep(GetParam());
    site.exchange();
    ASSERT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad"); }));
    const int writesBefore = site.store.writes;
    site.store.loseParts();
    EXPECT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad"); }));
    EXPECT_EQ(site.store.writes, writesBefore + 1);
}

// After a late exchange the crashes are written a second time, while the part is lost.
INSTANTIATE_TEST_SUITE_P(ExchangeAfter, LostPartTest, testing::Values(0, 150), testing::PrintToStringParamName());

// Guards against a part that is never stored because the store was out of service when it was found.
TEST(PromptQuarantine, IsStoredWhenTheStoreIsBack)
{
    QuarantineSite site(1);
    site.store.down = true;
    for (size_t i = 0; i < 3; ++i) {
        site.crash(0, {"bad"});
    }
    ASSERT_TRUE(site.waitUntil([&] { return site.store.writes > 0; }));
    EXPECT_TRUE(site.store.parts.empty());
    EXPECT_EQ(site.entriesThatQuarantine("bad"), 1U);
    site.store.down = false;
    EXPECT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad"); }));
}

// Guards against an entry that knows a part to be sound and doesn't tell the others, which then reject its calls.
TEST(PromptQuarantine, SparesPartsThatAnotherEntryKnowsToBeSound)
{
    QuarantineSite site(3);
    site.entries[2]->quarantine.recordSoundPrompt({"a1", "c2"});
    for (size_t i = 0; i < 4; ++i) {
        site.crash(i % 2, {"a1", "bad", "c2"});
    }
    // Entry 2 has a crash of its own to report, so that it tells what it knows.
    site.crash(2, {"a1", "bad", "c2"});
    site.exchange();
    for (const auto &entry : site.entries) {
        EXPECT_FALSE(entry->quarantine.isQuarantined({"a1"}));
    }
    EXPECT_EQ(site.entriesThatQuarantine("bad"), 3U);
    EXPECT_EQ(site.entriesThatQuarantine("c2"), 0U);
}

// Guards against a part that stays quarantined although upstreams write responses to prompts with it, or although an operator has released it.
TEST(PromptQuarantine, IsReleased)
{
    QuarantineSite site(2);
    for (size_t i = 0; i < 4; ++i) {
        site.crash(i % 2, {"a1", "bad"});
    }
    site.exchange();
    ASSERT_TRUE(site.waitUntil([&] { return site.store.parts.contains("bad"); }));
    ASSERT_EQ(site.entriesThatQuarantine("bad"), 2U);
    site.sleep(1);
    // A call that was in flight when the part was found.
    site.entries[0]->quarantine.recordSoundPrompt({"a1", "bad"});
    EXPECT_TRUE(site.waitUntil([&] { return site.store.parts.empty(); }));
    EXPECT_EQ(site.entriesThatQuarantine("bad"), 0U);
    // The crashes before no longer speak against it.
    site.crash(0, {"a1", "bad"});
    site.exchange();
    EXPECT_EQ(site.entriesThatQuarantine("bad"), 0U);
}

} // namespace
