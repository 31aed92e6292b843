#include <Fleet/EntryViews.h>
#include <gtest/gtest.h>

namespace
{

using namespace Fleet;

constexpr AK::Milliseconds maxAge = 1'000;

class ManualClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->time;
    }
    void sleep(AK::Milliseconds duration) const override
    {
        this->time += duration;
    }
    mutable AK::Milliseconds time = 100'000;
};

enum class EventKind { Heard, Sighted, Failed };

struct Event {
    /// Time since the event before it, in ms.
    AK::Milliseconds after = 0;
    EventKind kind = EventKind::Heard;
    uint32_t heartbeat = 0;
    bool ready = true;
};

struct ViewCase {
    const char *name;
    std::vector<Event> events;
    /// Time from the last event until the question, in ms.
    AK::Milliseconds askedAfter;
    bool live;
    bool ready;
    /// Whether the last event shows that the entry has stopped accepting clients.
    bool stopped = false;
};

LibPeers::NodeState stateOf(const std::string &name, uint32_t heartbeat, bool ready)
{
    LibPeers::NodeState state;
    state.name = name;
    state.rpcAddress = "10.0.0.2:1";
    state.clientAddress = "10.0.0.2:2";
    state.heartbeat = heartbeat;
    state.ready = ready;
    return state;
}

class EntryViewsTest : public testing::TestWithParam<ViewCase>
{
protected:
    EntryViewsTest()
        : fleet(clock)
        , views("self", clock, fleet)
    {
        this->fleet.setEntries(
            {{"e1", {"e1", {"10.0.0.1", 1}, {"10.0.0.1", 2}, "lima", "lima-1"}}, {"e2", {"e2", {"10.0.0.2", 1}, {"10.0.0.2", 2}, "cusco", "cusco-1"}}});
    }

    bool apply(const Event &event)
    {
        this->clock.time += event.after;
        switch (event.kind) {
        case EventKind::Heard:
            return this->views.record(stateOf("e2", event.heartbeat, event.ready));
        case EventKind::Sighted: {
            // e1 tells of e2.
            LibPeers::NodeState teller = stateOf("e1", ++this->tellerHeartbeat, true);
            teller.rpcAddress = "10.0.0.1:1";
            teller.sightings = {{LibPeers::entryHash("e2"), event.heartbeat, event.ready, false, 0}};
            return this->views.record(teller);
        }
        case EventKind::Failed:
            this->views.recordFailure("10.0.0.2:1");
            return false;
        }
        return false;
    }

    ManualClock clock;
    LibFleet::FleetState fleet;
    EntryViews views;
    uint32_t tellerHeartbeat = 0;
};

// Guards against an entry that is taken for dead while others hear it, and against one that stays in the directory and keeps its engines because old news of it
// still go round.
TEST_P(EntryViewsTest, TellLiveEntriesFromDeadOnes)
{
    bool stopped = false;
    for (const Event &event : GetParam().events) {
        stopped = this->apply(event);
    }
    this->clock.time += GetParam().askedAfter;
    const auto live = this->views.live(maxAge);
    ASSERT_EQ(live.contains("e2"), GetParam().live);
    EXPECT_EQ(this->views.isLive("e2", maxAge), GetParam().live);
    EXPECT_EQ(stopped, GetParam().stopped);
    if (GetParam().live) {
        EXPECT_EQ(live.at("e2").state.ready, GetParam().ready);
        EXPECT_EQ(live.at("e2").state.clientAddress, "10.0.0.2:2");
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, EntryViewsTest,
    testing::Values(
        ViewCase{"heard", {{0, EventKind::Heard, 5}}, 900, true, true}, ViewCase{"heard_too_long_ago", {{0, EventKind::Heard, 5}}, 1'100, false, false},
        ViewCase{"one_sighting_is_no_proof", {{0, EventKind::Sighted, 5}}, 0, false, false},
        ViewCase{"same_heartbeat_again", {{0, EventKind::Sighted, 5}, {500, EventKind::Sighted, 5}}, 0, false, false},
        ViewCase{"growing_heartbeat", {{0, EventKind::Sighted, 5}, {500, EventKind::Sighted, 6}}, 2'400, true, true},
        ViewCase{"heartbeat_stopped", {{0, EventKind::Sighted, 5}, {500, EventKind::Sighted, 6}}, 2'600, false, false},
        ViewCase{"heartbeat_wraps", {{0, EventKind::Sighted, UINT32_MAX}, {500, EventKind::Sighted, 0}}, 0, true, true},
        ViewCase{"older_news_change_nothing", {{0, EventKind::Heard, 5, true}, {100, EventKind::Sighted, 4, false}}, 0, true, true},
        ViewCase{"stops_by_way_of_others", {{0, EventKind::Heard, 5, true}, {100, EventKind::Sighted, 6, false}}, 0, true, false, true},
        ViewCase{"stops_itself", {{0, EventKind::Heard, 5, true}, {100, EventKind::Heard, 6, false}}, 0, true, false, true},
        ViewCase{"killed_with_news_under_way", {{0, EventKind::Heard, 5}, {200, EventKind::Failed}, {100, EventKind::Sighted, 6}}, 1'000, false, false},
        ViewCase{"cut_off_from_this_entry_only", {{0, EventKind::Heard, 5}, {200, EventKind::Failed}, {1'600, EventKind::Sighted, 12}}, 1'000, true, true},
        ViewCase{"restarted_with_lower_heartbeat", {{0, EventKind::Heard, 500}, {3'000, EventKind::Heard, 0}}, 500, true, true}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a restarted entry whose heartbeat stays below the one that the others know, so that news of it count as old.
TEST_F(EntryViewsTest, RaisesTheOwnHeartbeatAboveTheOneThatOthersKnow)
{
    this->views.beat();
    LibPeers::NodeState teller = stateOf("e1", 1, true);
    teller.sightings = {{LibPeers::entryHash("self"), 500, true, false, 0}};
    this->views.record(teller);
    EXPECT_EQ(this->views.heartbeat(), 501U);
    this->views.record(teller);
    EXPECT_EQ(this->views.heartbeat(), 501U);
}

// Guards against a reply that does not tell a restarted entry which heartbeat the others know.
TEST_F(EntryViewsTest, TellARestartedEntryItsOldHeartbeat)
{
    this->views.record(stateOf("e2", 500, true));
    this->views.record(stateOf("e2", 1, true));
    LibPeers::NodeState own;
    this->views.addSightings(own, maxAge);
    ASSERT_EQ(own.sightings.size(), 1U);
    EXPECT_EQ(own.sightings.front().entry, LibPeers::entryHash("e2"));
    EXPECT_EQ(own.sightings.front().heartbeat, 500U);
    EXPECT_TRUE(own.introduced.empty());
}

// Guards against entries that the store refuses: it does not list them, so the others would not know their addresses.
TEST_F(EntryViewsTest, IntroduceEntriesThatTheStoreDoesNotList)
{
    this->views.record(stateOf("new", 7, true));
    LibPeers::NodeState own = stateOf("self", 1, true);
    this->views.addSightings(own, maxAge);
    ASSERT_EQ(own.introduced.size(), 1U);

    EntryViews others("other", this->clock, this->fleet);
    others.record(own);
    own.sightings.front().heartbeat = 8;
    others.record(own);
    const auto live = others.live(maxAge);
    ASSERT_TRUE(live.contains("new"));
    EXPECT_EQ(live.at("new").state.clientAddress, "10.0.0.2:2");
}

} // namespace
