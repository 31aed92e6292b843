#include <WeightAgent/SwarmFetch.h>
#include <gtest/gtest.h>

namespace
{

using namespace WeightAgent;

/// An origin that refuses reads beyond its connection limit.
class LimitedOrigin final : public WeightsOrigin
{
public:
    LimitedOrigin(LibFiber::Loop &loop, int limit)
        : loop(loop)
        , limit(limit)
    {
    }

    absl::Status probe(kj::WaitScope &, const AK::Endpoint &) override
    {
        return absl::OkStatus();
    }
    absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &, const std::string &, int64_t) override
    {
        constexpr AK::Milliseconds readTime = 100;
        if (this->reading >= this->limit) {
            ++this->refused;
            return absl::UnavailableError("too many connections");
        }
        ++this->reading;
        this->loop.sleep(scope, readTime);
        --this->reading;
        return std::string("3");
    }
    absl::StatusOr<std::string> chunk(kj::WaitScope &, const AK::Endpoint &, const std::string &, int64_t, uint32_t) override
    {
        return absl::UnimplementedError("not read here");
    }
    absl::StatusOr<WeightsManifest> parseManifest(const std::string &text) const override
    {
        return WeightsManifest{std::stoll(text), 1, {}};
    }

    LibFiber::Loop &loop;
    int limit;
    int reading = 0;
    int refused = 0;
};

struct ManifestCase {
    const char *name;
    int agents;
    int limit;
};

class ManifestTest : public testing::TestWithParam<ManifestCase>
{
};

// Guards against agents that all read the manifest from the origin at once. The origin resets connections beyond its limit; after 76 hosts had lost
// power, no agent got the manifest for 15 s.
TEST_P(ManifestTest, AgentsReadOneAfterAnother)
{
    LibFiber::Loop loop;
    LimitedOrigin origin(loop, GetParam().limit);
    int manifestsRead = 0;
    const AK::Milliseconds startedAt = loop.clock().now();
    constexpr AK::Milliseconds testDuration = 1'000;
    for (int i = 0; i < GetParam().agents; ++i) {
        loop.spawn([&, i](kj::WaitScope &scope) {
            SwarmView view;
            view.origin = AK::Endpoint{"127.0.0.1", 1};
            view.originRegion = "lima";
            for (int other = 0; other < GetParam().agents; ++other) {
                if (other != i) {
                    // No process listens on this address: none of the agents has the manifest yet.
                    view.peers.push_back({{"a" + std::to_string(other), "lima"}, {"127.0.0.1", 2}});
                }
            }
            ManifestProof proof;
            OriginContact contact;
            while (loop.clock().now() - startedAt < testDuration) {
                SwarmFetch fetch(loop, origin, proof, contact, {"a" + std::to_string(i), "lima"}, "m", 3, view, startedAt);
                if (fetch.readManifest(scope).ok()) {
                    ++manifestsRead;
                    return;
                }
                loop.sleep(scope, 20);
            }
        });
    }
    loop.sleep(loop.rootScope(), testDuration + 200);
    EXPECT_EQ(origin.refused, 0);
    EXPECT_GE(manifestsRead, std::min(GetParam().agents, 4));
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, ManifestTest, testing::Values(ManifestCase{"one", 1, 1}, ManifestCase{"few", 4, 2}, ManifestCase{"many", 40, 4}),
                         [](const auto &info) { return std::string(info.param.name); });

struct ConcurrencyCase {
    const char *name;
    size_t agents;
    int limit;
    size_t readers;
    size_t readsPerReader;
};

class OriginConcurrencyTest : public testing::TestWithParam<ConcurrencyCase>
{
};

// Guards against an origin whose connection limit is used up by agents that have lost power, so that the restarted agents get no connection.
TEST_P(OriginConcurrencyTest, LeavesRoomForTwoSetsOfConnections)
{
    const OriginConcurrency concurrency = originConcurrency(GetParam().agents, GetParam().limit);
    EXPECT_EQ(concurrency.readers, GetParam().readers);
    EXPECT_EQ(concurrency.readsPerReader, GetParam().readsPerReader);
    if (GetParam().limit > 1) {
        EXPECT_LE(2 * concurrency.readers * concurrency.readsPerReader, static_cast<size_t>(GetParam().limit));
    }
}

INSTANTIATE_TEST_SUITE_P(Table, OriginConcurrencyTest,
                         testing::Values(ConcurrencyCase{"no_limit", 26, 0, 26, 2}, ConcurrencyCase{"small_site", 8, 48, 8, 2},
                                         ConcurrencyCase{"as_many_as_fit", 20, 48, 20, 1}, ConcurrencyCase{"large_site", 26, 48, 21, 1},
                                         ConcurrencyCase{"tiny_limit", 26, 1, 1, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a chunk that no agent fetches when only some of the agents read from the origin.
TEST(RegionRank, RanksOnlyReadersFirst)
{
    const std::vector<SwarmMember> all{{"a", "r"}, {"b", "r"}, {"c", "r"}, {"d", "r"}};
    std::map<std::string, int> firstCounts;
    for (size_t chunk = 0; chunk < 96; ++chunk) {
        std::set<size_t> ranks;
        for (const SwarmMember &self : all) {
            const size_t rank = regionRank(self.name, "r", all, "m/2", chunk, 2);
            ranks.insert(rank);
            firstCounts[self.name] += rank == 0 ? 1 : 0;
        }
        EXPECT_EQ(ranks, (std::set<size_t>{0, 1, 2, 3}));
    }
    std::multiset<int> counts;
    for (const auto &[name, count] : firstCounts) {
        counts.insert(count);
    }
    EXPECT_EQ(counts, (std::multiset<int>{0, 0, 48, 48}));
}

} // namespace
