#include <AK/Text.h>
#include <LibAudit/AuditArchive.h>
#include <LibAudit/AuditTrail.h>
#include <Tests/LibConfiguration/StoreDouble.h>
#include <functional>
#include <gtest/gtest.h>

namespace
{

nlohmann::json makeTrail(uint64_t entries)
{
    nlohmann::json trail = nlohmann::json::array();
    for (uint64_t i = 0; i < entries; ++i) {
        LibAudit::AuditEntry entry;
        entry.changeId = AK::concat("change-", i);
        entry.author = "rosa";
        entry.revisionBefore = i;
        entry.revisionAfter = i + 1;
        EXPECT_TRUE(LibAudit::appendEntry(trail, entry).ok());
    }
    return trail;
}

struct TamperCase {
    const char *name;
    std::function<void(nlohmann::json &)> tamper;
    bool valid;
};

class AuditTamperTest : public testing::TestWithParam<TamperCase>
{
};

// Guards against an entry that was changed, removed, swapped or inserted afterwards without detection.
TEST_P(AuditTamperTest, IsDetected)
{
    nlohmann::json trail = makeTrail(5);
    GetParam().tamper(trail);
    EXPECT_EQ(LibAudit::verifyTrail(trail, true).ok(), GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(Table, AuditTamperTest,
                         testing::Values(TamperCase{"untouched", [](nlohmann::json &) {}, true},
                                         TamperCase{"author_changed", [](nlohmann::json &trail) { trail[2]["author"] = "luis"; }, false},
                                         TamperCase{"rehashed",
                                                    [](nlohmann::json &trail) {
                                                        auto entry = *LibAudit::entryFromJson(trail[2]);
                                                        entry.author = "luis";
                                                        entry.hash = LibAudit::entryHash(entry);
                                                        trail[2] = LibAudit::entryToJson(entry);
                                                    },
                                                    false},
                                         TamperCase{"first_removed", [](nlohmann::json &trail) { trail.erase(0); }, false},
                                         TamperCase{"middle_removed", [](nlohmann::json &trail) { trail.erase(2); }, false},
                                         TamperCase{"swapped", [](nlohmann::json &trail) { std::swap(trail[1], trail[2]); }, false},
                                         TamperCase{"repeated", [](nlohmann::json &trail) { trail.push_back(trail[4]); }, false},
                                         TamperCase{"field_removed", [](nlohmann::json &trail) { trail[3].erase("reason"); }, false}),
                         [](const auto &info) { return info.param.name; });

// Guards against entries that are removed from the configuration object before the store holds them, and against an archive that is overwritten.
TEST(AuditArchive, KeepsEntriesUntilTheStoreHoldsThem)
{
    Tests::StoreDouble store;
    const nlohmann::json whole = makeTrail(2 * LibAudit::archiveBatchSize);
    nlohmann::json trail = whole;
    store.set({.down = true});
    EXPECT_FALSE(LibAudit::archiveOldest(store, "taller", trail, 0).ok());
    EXPECT_EQ(trail, whole);
    store.set({.loseResponses = 1});
    EXPECT_TRUE(LibAudit::archiveOldest(store, "taller", trail, 0).ok());
    EXPECT_EQ(LibAudit::joinTrails(*LibAudit::readArchive(store, "taller", 0), trail), whole);
    nlohmann::json other = whole;
    other[0]["author"] = "luis";
    EXPECT_FALSE(LibAudit::archiveOldest(store, "taller", other, 0).ok());
}

} // namespace
