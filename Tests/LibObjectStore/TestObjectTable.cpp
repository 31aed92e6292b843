#include <Tests/Fakes/ObjectApi/ObjectTable.h>
#include <gtest/gtest.h>

namespace
{

using Change = Fakes::ObjectTable::Change;

// Guards against a fake store that gives a recreated object a version that a delayed write is conditioned on: a delayed claim would then replace a new one.
TEST(ObjectTable, RecreatedObjectsGetNewVersions)
{
    Fakes::ObjectTable table;
    uint64_t newest = 0;
    for (int round = 0; round < 5; ++round) {
        const auto created = table.put("claims/a", std::nullopt, "first");
        ASSERT_EQ(created.change, Change::Done);
        EXPECT_GT(created.version, newest);
        EXPECT_EQ(table.put("claims/a", newest, "late").change, Change::ConditionFailed);
        EXPECT_EQ(table.put("claims/a", std::nullopt, "second").change, Change::ConditionFailed);
        const auto replaced = table.put("claims/a", created.version, "second");
        ASSERT_EQ(replaced.change, Change::Done);
        EXPECT_GT(replaced.version, created.version);
        EXPECT_EQ(table.remove("claims/a", created.version).change, Change::ConditionFailed);
        ASSERT_EQ(table.remove("claims/a", replaced.version).change, Change::Done);
        EXPECT_EQ(table.put("claims/a", replaced.version, "late").change, Change::Missing);
        newest = replaced.version;
    }
}

} // namespace
