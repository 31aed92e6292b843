#include <LibFleet/Partners.h>

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace
{

using namespace LibFleet;

struct FleetCase {
    const char *name;
    int regions;
    int domainsPerRegion;
    int entriesPerDomain;
    /// Every n-th entry is dead; 0 for none.
    int deadInterval;
    /// Two regions that can't reach each other, while the others reach both.
    bool bridgeCut;
};

using Graph = std::map<std::string, std::set<std::string>>;

std::vector<EntryLocation> aliveEntries(const FleetCase &fleet)
{
    std::vector<EntryLocation> entries;
    int number = 0;
    for (int region = 0; region < fleet.regions; ++region) {
        for (int domain = 0; domain < fleet.domainsPerRegion; ++domain) {
            for (int entry = 0; entry < fleet.entriesPerDomain; ++entry) {
                if (fleet.deadInterval == 0 || ++number % fleet.deadInterval != 0) {
                    const std::string domainName = "r" + std::to_string(region) + "-d" + std::to_string(domain);
                    entries.push_back({domainName + "-e" + std::to_string(entry), domainName, "r" + std::to_string(region)});
                }
            }
        }
    }
    return entries;
}

std::vector<EntryLocation> without(const std::vector<EntryLocation> &entries, const EntryLocation &self)
{
    std::vector<EntryLocation> others = entries;
    std::erase(others, self);
    return others;
}

Graph exchangesOf(const std::vector<EntryLocation> &entries, bool bridgeCut)
{
    std::map<std::string, std::string> regions;
    for (const EntryLocation &entry : entries) {
        regions[entry.name] = entry.region;
    }
    Graph graph;
    for (const EntryLocation &entry : entries) {
        for (const std::string &partner : partnersOfEntry(entry, without(entries, entry), PartnerSettings{})) {
            const bool cut = bridgeCut && std::set{regions[entry.name], regions[partner]} == std::set<std::string>{"r0", "r1"};
            if (!cut) {
                graph[entry.name].insert(partner);
                graph[partner].insert(entry.name);
            }
        }
    }
    return graph;
}

/// Exchanges that news need from one entry to each of the others; only those that they reach.
std::map<std::string, int> distancesFrom(const std::string &start, const Graph &graph)
{
    std::map<std::string, int> distances{{start, 0}};
    std::deque<std::string> queue{start};
    while (!queue.empty()) {
        const std::string name = queue.front();
        queue.pop_front();
        const auto partners = graph.find(name);
        for (const std::string &partner : partners == graph.end() ? std::set<std::string>{} : partners->second) {
            if (distances.emplace(partner, distances[name] + 1).second) {
                queue.push_back(partner);
            }
        }
    }
    return distances;
}

class PartnersTest : public testing::TestWithParam<FleetCase>
{
};

// Guards against exchanges of each pair, whose number grows with the square of the fleet: 59 entries and 120 agents made 25,000 of them a second, used 150
// Mbit/s between regions and more processor time than the calls.
TEST_P(PartnersTest, StayFewWhateverTheSize)
{
    const std::vector<EntryLocation> entries = aliveEntries(GetParam());
    const PartnerSettings settings;
    const size_t limit = settings.ringSuccessors + settings.shortcuts + static_cast<size_t>(GetParam().regions) - 1;
    size_t betweenRegions = 0;
    for (const EntryLocation &entry : entries) {
        const std::vector<std::string> partners = partnersOfEntry(entry, without(entries, entry), settings);
        EXPECT_LE(partners.size(), limit);
        EXPECT_EQ(std::set<std::string>(partners.begin(), partners.end()).size(), partners.size());
        EXPECT_EQ(std::count(partners.begin(), partners.end(), entry.name), 0);
        betweenRegions += static_cast<size_t>(
            std::count_if(partners.begin(), partners.end(), [&](const std::string &partner) { return partner.substr(0, partner.find('-')) != entry.region; }));
    }
    const auto regions = static_cast<size_t>(GetParam().regions);
    EXPECT_LE(betweenRegions, regions * (regions - 1) * settings.relaysPerRegion);
}

// Guards against parts of the fleet that never hear of each other, and against news that arrive later than the time after which an entry counts as dead.
TEST_P(PartnersTest, CarryNewsToEveryEntryInAFewExchanges)
{
    constexpr int maxExchanges = 7;
    const std::vector<EntryLocation> entries = aliveEntries(GetParam());
    const Graph graph = exchangesOf(entries, GetParam().bridgeCut);
    for (const EntryLocation &entry : entries) {
        const std::map<std::string, int> distances = distancesFrom(entry.name, graph);
        EXPECT_EQ(distances.size(), entries.size()) << "from " << entry.name;
        for (const auto &[name, distance] : distances) {
            EXPECT_LE(distance, maxExchanges) << "from " << entry.name << " to " << name;
        }
    }
}

// Guards against an engine whose owner gets no reports of it.
TEST_P(PartnersTest, OfAnAgentIncludeTheOwnerOfItsEngine)
{
    const std::vector<EntryLocation> entries = aliveEntries(GetParam());
    const PartnerSettings settings;
    for (int i = 0; i < 50; ++i) {
        const std::string engine = "engine-" + std::to_string(i);
        const EntryLocation agent{"agent-" + std::to_string(i), entries[static_cast<size_t>(i) % entries.size()].failureDomain,
                                  entries[static_cast<size_t>(i) % entries.size()].region};
        const std::vector<std::string> partners = partnersOfAgent(agent, engine, entries, settings);
        EXPECT_EQ(partners.front(), rankOwners(engine, agent.failureDomain, entries).front().name);
        EXPECT_LE(partners.size(), settings.agentPartners + settings.agentPartnersElsewhere);
        EXPECT_GE(partners.size(), std::min(entries.size(), settings.agentPartners));
        const bool elsewhere =
            std::any_of(partners.begin(), partners.end(), [&](const std::string &partner) { return partner.substr(0, partner.find('-')) != agent.region; });
        EXPECT_EQ(elsewhere, GetParam().regions > 1);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PartnersTest,
                         testing::Values(FleetCase{"four_entries", 3, 1, 2, 0, false}, FleetCase{"one_region", 1, 3, 4, 0, false},
                                         FleetCase{"twelve_entries", 3, 1, 4, 0, false}, FleetCase{"twelve_entries_cut", 3, 1, 4, 0, true},
                                         FleetCase{"sixty_entries", 5, 1, 12, 0, false}, FleetCase{"sixty_entries_cut", 5, 1, 12, 0, true},
                                         FleetCase{"sixty_entries_half_dead", 5, 1, 12, 2, false}, FleetCase{"sixty_entries_half_dead_cut", 5, 1, 12, 2, true},
                                         FleetCase{"target_size", 2, 3, 62, 0, false}, FleetCase{"target_size_third_dead", 2, 3, 62, 3, false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct HandOverCase {
    const char *name;
    bool leaving;
    std::vector<EntryLocation> live;
    std::vector<std::string> owners;
};

class HandOverTest : public testing::TestWithParam<HandOverCase>
{
};

// Guards against an entry that stops and its successor, which both own an upstream and send it twice the calls that it takes.
TEST_P(HandOverTest, HasOneOwner)
{
    std::vector<std::string> owners;
    for (const EntryLocation &entry : owningEntries({"e1", "lima-1", "lima"}, GetParam().leaving, GetParam().live)) {
        owners.push_back(entry.name);
    }
    EXPECT_EQ(owners, GetParam().owners);
}

INSTANTIATE_TEST_SUITE_P(Table, HandOverTest,
                         testing::Values(HandOverCase{"staying", false, {{"e2", "lima-1", "lima"}}, {"e1", "e2"}},
                                         HandOverCase{"staying_alone", false, {}, {"e1"}},
                                         HandOverCase{"leaving", true, {{"e2", "lima-1", "lima"}, {"e3", "cusco-1", "cusco"}}, {"e2", "e3"}},
                                         HandOverCase{"leaving_with_no_successor", true, {}, {"e1"}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an agent that reports to entries in another failure domain only, while the owner is in its own.
TEST(RankOwners, StartsInTheFailureDomainOfTheUpstream)
{
    const std::vector<EntryLocation> entries{{"e1", "lima-1", "lima"}, {"e2", "lima-2", "lima"}, {"e3", "cusco-1", "cusco"}};
    EXPECT_EQ(rankOwners("u", "cusco-1", entries).size(), 1U);
    EXPECT_EQ(rankOwners("u", "cusco-1", entries).front().name, "e3");
    EXPECT_EQ(rankOwners("u", "puno-1", entries).size(), 3U);
    EXPECT_TRUE(rankOwners("u", "puno-1", {}).empty());
}

} // namespace
