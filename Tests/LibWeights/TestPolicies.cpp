#include <AK/Hash.h>
#include <LibWeights/ChunkChoice.h>
#include <LibWeights/ChunkStore.h>
#include <LibWeights/Safetensors.h>
#include <LibWeights/TokenBucket.h>
#include <LibWeights/Wave.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace LibWeights;

namespace
{

struct ManifestCase {
    const char *name;
    const char *pointer;
    nlohmann::json value;
    const char *error;
};

class ManifestTest : public testing::TestWithParam<ManifestCase>
{
};

// Guards against a manifest that makes a process allocate unbounded memory or use a path outside that of the version. The error must name the field.
TEST_P(ManifestTest, ErrorNamesTheField)
{
    const GeneratedWeights parameters;
    const Manifest manifest = buildManifest(parameters, generateFiles(parameters));
    nlohmann::json json = nlohmann::json::parse(serializeManifest(manifest));
    const auto unchanged = parseManifest(json.dump());
    ASSERT_TRUE(unchanged.ok()) << unchanged.status();
    EXPECT_EQ(rootOf(*unchanged), rootOf(manifest));
    json[nlohmann::json::json_pointer(GetParam().pointer)] = GetParam().value;
    const auto parsed = parseManifest(json.dump());
    ASSERT_FALSE(parsed.ok());
    EXPECT_NE(std::string(parsed.status().message()).find(GetParam().error), std::string::npos) << parsed.status();
}

INSTANTIATE_TEST_SUITE_P(Table, ManifestTest,
                         testing::Values(ManifestCase{"empty_model", "/model", "", "/model"}, ManifestCase{"path_in_version", "/version", "../1", "/version"},
                                         ManifestCase{"line_in_adapter", "/adapter", "a\nb", "/adapter"},
                                         ManifestCase{"no_chunk_size", "/chunk_bytes", 0, "/chunk_bytes"},
                                         ManifestCase{"huge_chunks", "/chunk_bytes", 1 << 30, "/chunk_bytes"},
                                         ManifestCase{"no_files", "/files", nlohmann::json::array(), "/files"},
                                         ManifestCase{"short_chunk_list", "/files/1/chunks", nlohmann::json::array(), "/files/1/chunks"},
                                         ManifestCase{"bad_hash", "/files/0/chunks/2", "ABC", "/files/0/chunks/2"},
                                         ManifestCase{"negative_size", "/files/0/bytes", -1, "/files/0/bytes"},
                                         ManifestCase{"same_name", "/files/1/name", "model-00001-of-00002.safetensors", "listed twice"}),
                         [](const auto &info) { return info.param.name; });

// Guards against different manifests with the same root.
TEST(Manifest, RootCoversEveryField)
{
    const GeneratedWeights parameters;
    const Manifest base = buildManifest(parameters, generateFiles(parameters));
    std::set<std::string> roots{rootOf(base)};
    std::vector<Manifest> changed(6, base);
    changed[0].model += "x";
    changed[1].adapter += "x";
    changed[2].version += "x";
    changed[3].chunkBytes += 1;
    changed[4].files[0].chunks[0][0] = changed[4].files[0].chunks[0][0] == 'a' ? 'b' : 'a';
    std::swap(changed[5].files[0], changed[5].files[1]);
    for (const Manifest &manifest : changed) {
        EXPECT_TRUE(roots.insert(rootOf(manifest)).second);
    }
}

// Guards against unverified data in the store and against a buffer that exceeds its limit in the settings.
TEST(ChunkStore, KeepsOnlyVerifiedChunksWithinTheBuffer)
{
    ChunkStore store(10);
    const std::string first = "aaaaaa";
    const std::string second = "bbbbbb";
    EXPECT_EQ(store.put(AK::sha256Hex(first), second).code(), absl::StatusCode::kDataLoss);
    EXPECT_EQ(store.bytes(), 0U);
    ASSERT_TRUE(store.put(AK::sha256Hex(first), first).ok());
    ASSERT_TRUE(store.put(AK::sha256Hex(first), first).ok());
    EXPECT_EQ(store.bytes(), first.size());
    store.setPinned({AK::sha256Hex(second)});
    ASSERT_TRUE(store.put(AK::sha256Hex(second), second).ok());
    EXPECT_FALSE(store.has(AK::sha256Hex(first)));
    EXPECT_EQ(store.put(AK::sha256Hex(first), first).code(), absl::StatusCode::kResourceExhausted);
}

// Guards against an uneven distribution of designated chunks, and against a neighbour graph that is not connected and leaves agents without sources.
TEST(ChunkChoice, SpreadsDesignationsAndConnectsAgents)
{
    std::vector<std::string> names;
    names.reserve(60);
    for (int i = 0; i < 60; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    std::map<std::string, int> designated;
    for (int chunk = 0; chunk < 1200; ++chunk) {
        ++designated[fetchOrder("root", std::to_string(chunk), names, names.size()).front()];
    }
    EXPECT_EQ(designated.size(), names.size());
    EXPECT_LE(std::max_element(designated.begin(), designated.end(), [](auto &left, auto &right) { return left.second < right.second; })->second, 50);
    const std::vector<std::string> group = designatedGroup("root", names, 8);
    std::map<std::string, int> inGroup;
    for (int chunk = 0; chunk < 1200; ++chunk) {
        const std::vector<std::string> order = fetchOrder("root", std::to_string(chunk), names, 8);
        ++inGroup[order.front()];
        EXPECT_EQ(std::set<std::string>(order.begin(), order.end()).size(), names.size());
        EXPECT_TRUE(std::is_permutation(group.begin(), group.end(), order.begin(), order.begin() + 8));
    }
    EXPECT_EQ(inGroup.size(), group.size());
    EXPECT_LE(std::max_element(inGroup.begin(), inGroup.end(), [](auto &left, auto &right) { return left.second < right.second; })->second, 200);
    std::set<std::string> reached{names.front()};
    for (size_t before = 0; before != reached.size();) {
        before = reached.size();
        for (const std::string &name : std::set<std::string>(reached)) {
            const auto neighbours = chooseNeighbours(name, "root", names, 6);
            EXPECT_EQ(neighbours.size(), 7U);
            EXPECT_EQ(std::count(neighbours.begin(), neighbours.end(), name), 0);
            reached.insert(neighbours.begin(), neighbours.end());
        }
    }
    EXPECT_EQ(reached.size(), names.size());
}

// Guards against fetching common chunks first, which leaves the rare ones with a single source at the end.
TEST(ChunkChoice, PrefersTheRarestOfferedChunk)
{
    AK::Random random(3);
    EXPECT_EQ(chooseRarest({true, true, true}, {true, true, true}, {3, 1, 2}, random), 1U);
    EXPECT_EQ(chooseRarest({true, false, true}, {true, true, true}, {3, 1, 2}, random), 2U);
    EXPECT_EQ(chooseRarest({true, true, true}, {true, false, false}, {3, 1, 2}, random), 0U);
    EXPECT_FALSE(chooseRarest({false, true}, {true, false}, {1, 1}, random).has_value());
    std::set<uint32_t> chosen;
    for (int i = 0; i < 100; ++i) {
        chosen.insert(*chooseRarest({true, true}, {true, true}, {1, 1}, random));
    }
    EXPECT_EQ(chosen.size(), 2U);
}

// Guards against a second read from the origin of a chunk whose designated fetcher is alive and making progress.
TEST(ChunkChoice, ReplacesOnlyUnreachableOrIdlePredecessors)
{
    EXPECT_FALSE(mayReplace({{true, 950}}, 1000, 100));
    EXPECT_TRUE(mayReplace({{true, 900}}, 1000, 100));
    EXPECT_TRUE(mayReplace({{false, 1000}}, 1000, 100));
    EXPECT_FALSE(mayReplace({{false, 1000}, {true, 990}}, 1000, 100));
    EXPECT_FALSE(isTooSlow(1000, 1000, 10'000));
    EXPECT_TRUE(isTooSlow(999, 1000, 10'000));
    EXPECT_EQ(fetchTimeout(1000, 10'000, 10), 1000);
    EXPECT_EQ(fetchTimeout(1000, 10'000, 5000), 5000);
}

// Guards against transfers of weights that exceed their rate limit over longer periods.
TEST(TokenBucket, KeepsToTheRate)
{
    TokenBucket bucket;
    AK::Milliseconds now = 0;
    uint64_t sent = 0;
    while (now < 10'000) {
        now += takeTokens(bucket, now, 700, 10'000);
        sent += 700;
    }
    EXPECT_LE(sent, 10'000U * 10 + 2000);
    EXPECT_GE(sent, 10'000U * 10 - 2000);
}

struct WaveCase {
    const char *name;
    /// For each rank: 'n' new root, 'o' old root, 'd' dead, 'e' new root with errors.
    const char *states;
    size_t rank;
    double share;
    bool paused;
    bool allowed;
};

class WaveTest : public testing::TestWithParam<WaveCase>
{
};

// Guards against a rollout that drains more agents at once than declared, that waits for dead agents, or that continues although calls fail.
TEST_P(WaveTest, PermissionTable)
{
    std::vector<std::string> names;
    names.reserve(60);
    for (size_t i = 0; i < std::string_view(GetParam().states).size(); ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    std::sort(names.begin(), names.end(), [](auto &left, auto &right) { return AK::rendezvousWeight("new", left) > AK::rendezvousWeight("new", right); });
    std::vector<WaveMember> members;
    for (size_t i = 0; i < names.size(); ++i) {
        const char state = GetParam().states[i];
        members.push_back({names[i], state != 'd', state == 'n' || state == 'e' ? "new" : "old", 100, state == 'e' ? 20U : 0U});
    }
    std::reverse(members.begin(), members.end());
    LibSettings::RolloutPolicy policy;
    policy.waveShare = GetParam().share;
    policy.paused = GetParam().paused;
    EXPECT_EQ(maySwitch(names[GetParam().rank], "new", members, policy), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(Table, WaveTest,
                         testing::Values(WaveCase{"first_wave", "oooooo", 1, 0.34, false, true}, WaveCase{"second_waits", "nooooo", 2, 0.34, false, false},
                                         WaveCase{"second_goes", "nnoooo", 2, 0.34, false, true}, WaveCase{"third_waits", "nnnooo", 4, 0.34, false, false},
                                         WaveCase{"dead_skipped", "ndoooo", 2, 0.34, false, true}, WaveCase{"errors_stop", "neoooo", 2, 0.34, false, false},
                                         WaveCase{"paused", "oooooo", 0, 0.34, true, false}, WaveCase{"small_share", "oo", 1, 0.1, false, false},
                                         WaveCase{"at_least_one", "oo", 0, 0.1, false, true}, WaveCase{"all_at_once", "ooo", 2, 1.0, false, true}),
                         [](const auto &info) { return info.param.name; });

} // namespace
