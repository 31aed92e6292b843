#include <AK/Endpoint.h>
#include <AK/Hash.h>
#include <gtest/gtest.h>
#include <map>

namespace
{

// Guards against a change of the hash between builds: processes of different builds would disagree on designated fetchers and watchers.
TEST(Hash, IsStableAcrossBuilds)
{
    EXPECT_EQ(AK::sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(AK::hmacSha256Hex("key", "The quick brown fox jumps over the lazy dog"), "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
    EXPECT_EQ(AK::stableHash(""), 17665956581633026203ULL);
}

// Guards against one member having the greatest weight for most keys, which would make it fetch most of the chunks.
TEST(Hash, RendezvousSpreadsKeysEvenly)
{
    std::map<std::string, int> first;
    for (int key = 0; key < 10'000; ++key) {
        std::string best;
        uint64_t bestWeight = 0;
        for (int member = 0; member < 10; ++member) {
            const std::string name = "host-" + std::to_string(member);
            const uint64_t weight = AK::rendezvousWeight("chunk-" + std::to_string(key), name);
            if (best.empty() || weight > bestWeight) {
                best = name;
                bestWeight = weight;
            }
        }
        ++first[best];
    }
    ASSERT_EQ(first.size(), 10U);
    for (const auto &[name, count] : first) {
        EXPECT_GT(count, 800) << name;
        EXPECT_LT(count, 1200) << name;
    }
}

struct EndpointCase {
    const char *text;
    bool valid;
};

class EndpointTest : public testing::TestWithParam<EndpointCase>
{
};

// Guards against host names and ports that only a later socket call would refuse, in an error without the path of the setting.
TEST_P(EndpointTest, AcceptsOnlyAddressAndPort)
{
    EXPECT_EQ(AK::parseEndpoint(GetParam().text).ok(), GetParam().valid) << GetParam().text;
}

INSTANTIATE_TEST_SUITE_P(Table, EndpointTest,
                         testing::Values(EndpointCase{"127.0.0.1:80", true}, EndpointCase{"127.0.0.1:0", false}, EndpointCase{"127.0.0.1:65536", false},
                                         EndpointCase{"127.0.0.1:0200", false}, EndpointCase{"127.0.0.1", false}, EndpointCase{"localhost:80", false},
                                         EndpointCase{"127.0.0.1:8x", false}, EndpointCase{":80", false}, EndpointCase{"", false}));

} // namespace
