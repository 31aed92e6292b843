#include <AK/Hash.h>
#include <AK/Text.h>
#include <Gateway/PromptQuarantine.h>
#include <LibGateway/StoredCrashes.h>
#include <gtest/gtest.h>
#include <memory>

namespace
{

using Parts = std::vector<std::string>;

constexpr AK::Milliseconds startTime = 10'000'000;
constexpr AK::Milliseconds second = 1'000;
constexpr AK::Milliseconds minute = 60 * second;
const std::string front = "f00d";
const std::string crashing = "bad";

/// Time that passes only when the test says so.
class ManualClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return 1'700'000'000'000 + this->time;
    }
    void sleep(AK::Milliseconds /*duration*/) const override
    {
    }

    AK::Milliseconds time = startTime;
};

enum class Restarts { None, Some, All };

struct Campaign {
    const char *name;
    /// Time between two requests with the part.
    AK::Milliseconds gap;
    size_t entries = 1;
    /// Parts that other prompts share, before and behind the one that crashes upstreams.
    size_t partsBefore = 1;
    size_t partsBehind = 0;
    /// Requests of a session, which share a part of their own behind the others; 0 for none.
    size_t requestsPerSession = 0;
    /// Prompts with the part were answered before.
    bool answeredBefore = false;
    /// Entries that are restarted between two requests.
    Restarts restarts = Restarts::None;
    /// Attempts of a client, and upstreams that an entry sends an attempt to.
    int attempts = 2;
};

/// Entries that judge crashes, and the traffic of a site in simulated time.
class CampaignSite
{
public:
    explicit CampaignSite(const Campaign &campaign)
        : campaign(campaign)
    {
        for (size_t i = 0; i < campaign.entries; ++i) {
            this->entries.push_back(this->makeEntry());
        }
    }

    /// Sound prompts are answered at all entries for some time. Each has the front part, one of its session, and one that requests with the crashing part have
    /// too.
    void serveSound(AK::Milliseconds duration)
    {
        constexpr AK::Milliseconds interval = 500;
        // What is remembered of parts is bounded, so the last minute before the next request tells as much as a longer time.
        const AK::Milliseconds skipped = std::max<AK::Milliseconds>(0, duration - minute);
        this->clock.time += skipped;
        for (AK::Milliseconds passed = skipped; passed < duration; passed += interval) {
            this->clock.time += std::min(interval, duration - passed);
            const size_t entry = ++this->soundCalls % this->entries.size();
            Parts parts = this->sharedParts();
            parts.push_back(AK::concat("5e55", this->soundCalls % sessions));
            this->entries[entry]->quarantine.recordSoundPrompt(parts);
            this->exchange();
        }
    }

    /// A request with the crashing part, repeated by the entry and the client as long as nothing holds it back.
    void requestCrashing()
    {
        ++this->requests;
        LibGateway::CallRequest request;
        request.sharedPromptParts = this->crashingParts();
        request.lastPromptPart = std::to_string(this->requests);
        for (int attempt = 0; attempt < this->campaign.attempts; ++attempt) {
            Entry &entry = *this->entries[(this->requests + static_cast<size_t>(attempt)) % this->entries.size()];
            for (int send = 0; send < 2; ++send) {
                if (entry.quarantine.isQuarantined(request.sharedPromptParts) || (send > 0 && entry.quarantine.isSuspected(request))) {
                    break;
                }
                this->crashUpstream(entry, request);
            }
        }
    }

    void restartEntries()
    {
        this->writeStore();
        for (size_t i = 0; i < this->entries.size(); ++i) {
            if (this->campaign.restarts == Restarts::All || (this->campaign.restarts == Restarts::Some && i % 2 == this->requests % 2)) {
                this->entries[i] = this->makeEntry();
            }
        }
    }

    /// Requests with the part that reached upstreams later than `slack` after the fifth crash.
    size_t lateArrivals(AK::Milliseconds slack) const
    {
        constexpr size_t crashesBefore = 5;
        if (this->arrivals.size() < crashesBefore) {
            return 0;
        }
        const AK::Milliseconds from = this->arrivals[crashesBefore - 1] + slack;
        return static_cast<size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](AK::Milliseconds arrival) { return arrival > from; }));
    }

    bool rejectsSound() const
    {
        return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
            Parts parts = this->sharedParts();
            for (size_t session = 0; session < sessions; ++session) {
                parts.push_back(AK::concat("5e55", session));
            }
            return entry->quarantine.isQuarantined(parts);
        });
    }

    bool isFound() const
    {
        return std::all_of(this->entries.begin(), this->entries.end(), [](const auto &entry) { return entry->quarantine.isQuarantined({crashing}); });
    }

    void answerCrashingPart()
    {
        for (const auto &entry : this->entries) {
            entry->quarantine.recordSoundPrompt(this->crashingParts());
        }
    }

private:
    static constexpr size_t sessions = 10;

    struct Entry {
        explicit Entry(const ManualClock &clock)
            : fleet(clock)
            , quarantine(clock, this->fleet)
        {
        }

        LibFleet::FleetState fleet;
        Gateway::PromptQuarantine quarantine;
    };

    std::unique_ptr<Entry> makeEntry()
    {
        auto entry = std::make_unique<Entry>(this->clock);
        entry->fleet.setQuarantinedParts(this->storedParts);
        entry->fleet.setStoredCrashes(this->storedCrashes);
        return entry;
    }

    Parts sharedParts() const
    {
        Parts parts{front};
        for (size_t i = 1; i < this->campaign.partsBefore + this->campaign.partsBehind; ++i) {
            parts.push_back(AK::concat("aa", i));
        }
        return parts;
    }

    Parts crashingParts() const
    {
        Parts parts = this->campaign.partsBefore + this->campaign.partsBehind > 0 ? this->sharedParts() : Parts();
        parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(this->campaign.partsBefore), crashing);
        if (this->campaign.requestsPerSession > 0) {
            parts.push_back(AK::concat("cafe", (this->requests - 1) / this->campaign.requestsPerSession));
        }
        return parts;
    }

    /// The upstream reads the prompt for a while and crashes, beside the call of a session.
    void crashUpstream(Entry &entry, const LibGateway::CallRequest &request)
    {
        constexpr AK::Milliseconds readingTime = 60;
        const AK::Milliseconds sentAt = this->clock.time;
        this->arrivals.push_back(sentAt);
        this->clock.time += readingTime;
        Parts beside = this->sharedParts();
        beside.push_back(AK::concat("5e55", this->arrivals.size() % sessions));
        entry.quarantine.recordCrash(
            {AK::concat("u", this->arrivals.size()),
             this->clock.time,
             {{AK::stableHash(request.lastPromptPart), sentAt, request.sharedPromptParts}, {this->arrivals.size() + 1'000, sentAt, beside}}});
        this->exchange();
        this->clock.time += 20;
    }

    void exchange()
    {
        for (size_t round = 0; round < this->entries.size(); ++round) {
            for (size_t i = 0; i + 1 < this->entries.size() + (this->entries.size() > 1 ? 1 : 0); ++i) {
                LibPeers::NodeState state;
                this->entries[i]->quarantine.addTo(state);
                this->entries[(i + 1) % this->entries.size()]->quarantine.record(state);
            }
        }
    }

    /// What QuarantineKeeper writes some seconds later.
    void writeStore()
    {
        const LibGateway::ClockReading now{this->clock.now(), this->clock.wallTime()};
        for (const auto &entry : this->entries) {
            for (const auto &[part, since] : entry->quarantine.unstoredParts()) {
                this->storedParts.insert(part);
            }
            std::vector<LibGateway::Crash> stored = LibGateway::decodeCrashes(this->storedCrashes, now).value_or(std::vector<LibGateway::Crash>());
            if (LibGateway::mergeCrashes(stored, entry->quarantine.crashesToStore(), entry->quarantine.releasedParts())) {
                this->storedCrashes = LibGateway::encodeCrashes(stored, now);
            }
        }
        for (const auto &entry : this->entries) {
            for (const auto &[part, since] : entry->quarantine.supersededParts()) {
                this->storedParts.erase(part);
            }
        }
        for (const auto &entry : this->entries) {
            entry->fleet.setQuarantinedParts(this->storedParts);
            entry->fleet.setStoredCrashes(this->storedCrashes);
        }
    }

    Campaign campaign;
    ManualClock clock;
    std::vector<std::unique_ptr<Entry>> entries;
    std::set<std::string> storedParts;
    std::string storedCrashes;
    std::vector<AK::Milliseconds> arrivals;
    size_t requests = 0;
    size_t soundCalls = 0;
};

class SlowCrashTest : public testing::TestWithParam<Campaign>
{
};

// Guards against a part that crashes upstreams and is never found because its requests are far apart, stand behind others, belong to sessions that follow each
// other, were answered once, or because entries are restarted in between; and against sound parts that are taken for it.
TEST_P(SlowCrashTest, AreFoundInTime)
{
    constexpr size_t requests = 12;
    constexpr AK::Milliseconds stableWindow = 3 * second;
    constexpr size_t toleratedArrivals = 3;
    CampaignSite site(GetParam());
    site.serveSound(10 * second);
    if (GetParam().answeredBefore) {
        site.answerCrashingPart();
    }
    for (size_t request = 0; request < requests; ++request) {
        site.serveSound(GetParam().gap);
        site.restartEntries();
        site.requestCrashing();
    }
    EXPECT_LE(site.lateArrivals(stableWindow), toleratedArrivals);
    EXPECT_TRUE(site.isFound());
    site.serveSound(5 * second);
    EXPECT_FALSE(site.rejectsSound());
}

INSTANTIATE_TEST_SUITE_P(Table, SlowCrashTest,
                         testing::Values(Campaign{"each_second", second}, Campaign{"each_31_seconds", 31 * second}, Campaign{"each_4_minutes", 4 * minute},
                                         Campaign{"each_4_minutes_without_retries", 4 * minute, 1, 1, 0, 0, false, Restarts::None, 1},
                                         Campaign{"answered_before_each_second", second, 1, 1, 0, 0, true},
                                         Campaign{"answered_before_each_11_seconds", 11 * second, 1, 1, 0, 0, true},
                                         Campaign{"answered_before_each_3_minutes", 3 * minute, 4, 1, 0, 0, true}, Campaign{"first_part", 31 * second, 1, 0, 1},
                                         Campaign{"only_part", 31 * second, 1, 0, 0}, Campaign{"behind_the_32nd", 31 * second, 2, 36, 4},
                                         Campaign{"behind_hundreds", 31 * second, 1, 300, 300}, Campaign{"sessions", 2 * second, 1, 1, 0, 3},
                                         Campaign{"sessions_each_minute", minute, 4, 1, 0, 3},
                                         Campaign{"sessions_of_four_answered_before", 31 * second, 1, 1, 0, 4, true},
                                         Campaign{"many_entries", 31 * second, 12, 1, 0},
                                         Campaign{"some_restarted", 31 * second, 4, 1, 0, 0, false, Restarts::Some},
                                         Campaign{"all_restarted", 31 * second, 4, 1, 0, 0, false, Restarts::All},
                                         Campaign{"single_one_restarted", 5 * minute, 1, 1, 0, 0, false, Restarts::All},
                                         Campaign{"sessions_and_restarts", 31 * second, 2, 1, 0, 3, false, Restarts::All},
                                         Campaign{"answered_before_and_restarted", 31 * second, 3, 1, 0, 0, true, Restarts::Some}),
                         [](const auto &info) { return std::string(info.param.name); });

struct DisasterCase {
    const char *name;
    size_t entries;
    /// Crashes at each moment, and the time between two moments.
    size_t together;
    AK::Milliseconds gap;
};

class DisasterTest : public testing::TestWithParam<DisasterCase>
{
};

// Guards against parts of sound prompts that are quarantined because crashes are remembered for long: upstreams go down by turns for a quarter of an hour, and
// each call that was beside a crash is answered afterwards, at any entry.
TEST_P(DisasterTest, QuarantinesNothing)
{
    ManualClock clock;
    std::vector<std::unique_ptr<LibFleet::FleetState>> fleets;
    std::vector<std::unique_ptr<Gateway::PromptQuarantine>> entries;
    for (size_t i = 0; i < GetParam().entries; ++i) {
        fleets.push_back(std::make_unique<LibFleet::FleetState>(clock));
        entries.push_back(std::make_unique<Gateway::PromptQuarantine>(clock, *fleets.back()));
    }
    const auto exchange = [&] {
        for (size_t i = 0; i < 2 * entries.size(); ++i) {
            LibPeers::NodeState state;
            entries[i % entries.size()]->addTo(state);
            entries[(i + 1) % entries.size()]->record(state);
        }
    };
    constexpr size_t sessions = 20;
    const auto partsOf = [](size_t session) {
        return Parts{front, AK::concat("5e55", session)};
    };
    size_t crash = 0;
    const AK::Milliseconds until = clock.time + 15 * minute;
    for (size_t moment = 0; clock.time < until; ++moment) {
        for (size_t i = 0; i < GetParam().together; ++i) {
            ++crash;
            entries[crash % entries.size()]->recordCrash(
                {AK::concat("u", crash),
                 clock.time,
                 {{crash, clock.time - 50, partsOf(crash % sessions)}, {crash + 1'000'000, clock.time - 40, partsOf((crash + 7) % sessions)}}});
        }
        exchange();
        // Each session goes on within two seconds, at another entry; others are served by then.
        for (size_t session = 0; session < sessions; ++session) {
            clock.time += 2 * second / sessions;
            entries[(session + moment) % entries.size()]->recordSoundPrompt(partsOf(session));
            exchange();
        }
        // So many other prompts that what was answered before is forgotten.
        for (size_t other = 0; other < 20'000; ++other) {
            entries[other % entries.size()]->recordSoundPrompt({front, AK::concat("07e4", moment, "a", other)});
        }
        clock.time += GetParam().gap;
        for (const auto &entry : entries) {
            for (size_t session = 0; session < sessions; ++session) {
                ASSERT_FALSE(entry->isQuarantined(partsOf(session))) << "moment " << moment << ", session " << session;
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, DisasterTest,
                         testing::Values(DisasterCase{"one_by_one", 1, 1, 10 * second}, DisasterCase{"several_entries", 4, 1, 10 * second},
                                         DisasterCase{"many_at_once", 3, 40, 30 * second}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
