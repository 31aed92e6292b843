#include <LibGateway/Leaving.h>
#include <gtest/gtest.h>
#include <vector>

namespace
{

using namespace LibGateway;

constexpr size_t maxNotices = 3;

struct IncarnationCase {
    const char *name;
    int64_t announcedBy;
    int64_t registered;
    bool leaving;
};

class IncarnationTest : public testing::TestWithParam<IncarnationCase>
{
};

// Guards against a successor that gets no calls, and against a registration from before a restart that lets calls through to the incarnation that leaves.
TEST_P(IncarnationTest, IsLeavingUntilItIsReplaced)
{
    LeavingNotices notices;
    EXPECT_TRUE(recordLeaving(notices, "i-1", GetParam().announcedBy, 0, maxNotices));
    EXPECT_EQ(isLeaving(notices, "i-1", GetParam().registered), GetParam().leaving);
    EXPECT_FALSE(isLeaving(notices, "i-2", GetParam().registered));
}

INSTANTIATE_TEST_SUITE_P(Table, IncarnationTest,
                         testing::Values(IncarnationCase{"same", 70, 70, true}, IncarnationCase{"successor", 70, 90, false},
                                         IncarnationCase{"older_registration", 70, 50, true}, IncarnationCase{"start_not_registered", 70, 0, true},
                                         IncarnationCase{"start_not_known", 0, 90, true}, IncarnationCase{"no_start_at_all", 0, 0, true}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a notice that counts as news with every response, against one that a stale notice replaces, and against a list that grows without limit.
TEST(LeavingNotices, AreKeptOnce)
{
    LeavingNotices notices;
    EXPECT_TRUE(recordLeaving(notices, "i-1", 70, 1, maxNotices));
    EXPECT_FALSE(recordLeaving(notices, "i-1", 70, 2, maxNotices));
    EXPECT_FALSE(recordLeaving(notices, "i-1", 50, 3, maxNotices));
    EXPECT_TRUE(recordLeaving(notices, "i-1", 90, 4, maxNotices));
    EXPECT_TRUE(isLeaving(notices, "i-1", 90));
    for (int id = 2; id <= 5; ++id) {
        EXPECT_TRUE(recordLeaving(notices, "i-" + std::to_string(id), 70, 10 + id, maxNotices));
    }
    EXPECT_EQ(notices.size(), maxNotices);
    EXPECT_TRUE(isLeaving(notices, "i-5", 70));
    EXPECT_FALSE(isLeaving(notices, "i-2", 70)) << "the oldest was dropped";
}

} // namespace
