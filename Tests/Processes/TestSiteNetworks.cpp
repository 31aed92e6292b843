#include <Loopback/LoopbackNetwork.h>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace
{

struct NetworkCase {
    const char *name;
    /// Numbers at which the sites begin to look for a network.
    std::vector<int> numbers;
};

class SiteNetworksTest : public testing::TestWithParam<NetworkCase>
{
};

// Guards against two sites on the same addresses: the processes of one could not listen, or answered the calls of the other's test.
TEST_P(SiteNetworksTest, NoTwoSitesShareAnAddress)
{
    constexpr int mostHosts = 1'250;
    std::vector<std::unique_ptr<Loopback::LoopbackNetwork>> networks;
    std::set<std::string> first;
    std::set<std::string> last;
    for (const int number : GetParam().numbers) {
        networks.push_back(std::make_unique<Loopback::LoopbackNetwork>(number));
        EXPECT_TRUE(first.insert(networks.back()->hostAddress(0)).second) << networks.back()->hostAddress(0);
        EXPECT_TRUE(last.insert(networks.back()->hostAddress(mostHosts - 1)).second);
    }
}

// Process ids 2,500 apart begin at the same network.
INSTANTIATE_TEST_SUITE_P(Table, SiteNetworksTest,
                         testing::Values(NetworkCase{"neighbours", {400, 401, 402}}, NetworkCase{"ids_far_apart", {4 * 511, 4 * (511 + 2'500)}},
                                         NetworkCase{"last_number", {9'999, 9'999, 9'999}}),
                         [](const auto &info) { return info.param.name; });

} // namespace
