#include <WeightAgent/SwarmFetch.h>
#include <gtest/gtest.h>

namespace
{

using namespace WeightAgent;

/// An origin that refuses reads beyond its limit, as one that resets connections does.
class LimitedOrigin final : public WeightsOrigin
{
public:
    LimitedOrigin(LibFiber::Loop &loop, int limit)
        : loop(loop)
        , limit(limit)
    {
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
        return std::string("manifest");
    }
    absl::StatusOr<std::string> chunk(kj::WaitScope &, const AK::Endpoint &, const std::string &, int64_t, uint32_t) override
    {
        return absl::UnimplementedError("not read here");
    }
    absl::StatusOr<WeightsManifest> parseManifest(const std::string &) const override
    {
        return absl::UnimplementedError("not read here");
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

// Guards against agents that all read the manifest from the origin at once: it resets what is beyond its limit, and after a loss of power of 76 hosts nobody
// got it for 15 s (RECOVER on trouble-2 of the grown Costilla Luz).
TEST_P(ManifestTest, IsReadByOneAgentAfterAnother)
{
    LibFiber::Loop loop;
    LimitedOrigin origin(loop, GetParam().limit);
    int read = 0;
    const AK::Milliseconds began = loop.clock().now();
    constexpr AK::Milliseconds longEnough = 1'000;
    for (int i = 0; i < GetParam().agents; ++i) {
        loop.spawn([&, i](kj::WaitScope &scope) {
            SwarmView view;
            view.origin = AK::Endpoint{"127.0.0.1", 1};
            view.originRegion = "lima";
            for (int other = 0; other < GetParam().agents; ++other) {
                if (other != i) {
                    // Nobody listens there: none of the agents has the manifest yet.
                    view.peers.push_back({{"a" + std::to_string(other), "lima"}, {"127.0.0.1", 2}});
                }
            }
            while (loop.clock().now() - began < longEnough) {
                SwarmFetch fetch(loop, origin, {"a" + std::to_string(i), "lima"}, "m", 3, view, began);
                if (fetch.readManifest(scope).ok()) {
                    ++read;
                    return;
                }
                loop.sleep(scope, 20);
            }
        });
    }
    loop.sleep(loop.rootScope(), longEnough + 200);
    EXPECT_EQ(origin.refused, 0);
    EXPECT_GE(read, std::min(GetParam().agents, 4));
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, ManifestTest, testing::Values(ManifestCase{"one", 1, 1}, ManifestCase{"few", 4, 2}, ManifestCase{"many", 40, 4}),
                         [](const auto &info) { return std::string(info.param.name); });

struct UseCase {
    const char *name;
    size_t agents;
    int limit;
    size_t readers;
    size_t readsEach;
};

class OriginUseTest : public testing::TestWithParam<UseCase>
{
};

TEST_P(OriginUseTest, LeavesRoomForTwoGenerations)
{
    const OriginUse use = originUse(GetParam().agents, GetParam().limit);
    EXPECT_EQ(use.readers, GetParam().readers);
    EXPECT_EQ(use.readsEach, GetParam().readsEach);
    if (GetParam().limit > 1) {
        EXPECT_LE(2 * use.readers * use.readsEach, static_cast<size_t>(GetParam().limit));
    }
}

INSTANTIATE_TEST_SUITE_P(Table, OriginUseTest,
                         testing::Values(UseCase{"no_limit", 26, 0, 26, 2}, UseCase{"small_site", 8, 48, 8, 2}, UseCase{"as_many_as_fit", 20, 48, 20, 1},
                                         UseCase{"grown_site", 26, 48, 21, 1}, UseCase{"tiny_limit", 26, 1, 1, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a chunk that nobody brings when fewer agents than there are read from the origin.
TEST(RegionRank, LetsOnlyTheReadersBegin)
{
    const std::vector<SwarmMember> all{{"a", "r"}, {"b", "r"}, {"c", "r"}, {"d", "r"}};
    std::map<std::string, int> first;
    for (size_t chunk = 0; chunk < 96; ++chunk) {
        std::set<size_t> ranks;
        for (const SwarmMember &self : all) {
            const size_t rank = regionRank(self.name, "r", all, "m/2", chunk, 2);
            ranks.insert(rank);
            first[self.name] += rank == 0 ? 1 : 0;
        }
        EXPECT_EQ(ranks, (std::set<size_t>{0, 1, 2, 3}));
    }
    std::multiset<int> counts;
    for (const auto &[name, count] : first) {
        counts.insert(count);
    }
    EXPECT_EQ(counts, (std::multiset<int>{0, 0, 48, 48}));
}

} // namespace
