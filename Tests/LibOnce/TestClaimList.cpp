#include "MemoryStore.h"
#include <AK/Hash.h>
#include <AK/Text.h>
#include <LibOnce/ClaimList.h>
#include <gtest/gtest.h>

namespace
{

using LibOnce::ClaimState;

constexpr int claimCount = 3'000;
constexpr int unknownEvery = 100;
constexpr AK::Milliseconds timeoutMs = 1'000;

class ClaimListTest : public testing::Test
{
protected:
    ClaimListTest()
    {
        for (int i = 0; i < claimCount; ++i) {
            LibOnce::ClaimRecord record;
            record.state = i % unknownEvery == 0 ? ClaimState::Unknown : ClaimState::NotRun;
            record.nonce = "n";
            record.bodyDigest = "d";
            const std::string name = AK::sha256Hex(AK::concat("claim ", i));
            this->store.objects[name] = {name, 1, LibOnce::serializeClaim(record)};
        }
    }

    MemoryStore store;
};

// Guards against claims that are missing from the result because the store lists at most 1,000 objects per call.
TEST_F(ClaimListTest, SplitsFullListings)
{
    this->store.objects["ff"] = {"ff", 1, "no claim"};
    const auto list = LibOnce::listClaims(this->store, ClaimState::Unknown, {}, timeoutMs);
    ASSERT_TRUE(list.ok()) << list.status();
    EXPECT_EQ(list->claims.size(), static_cast<size_t>(claimCount / unknownEvery));
    EXPECT_EQ(list->examined, static_cast<size_t>(claimCount + 1));
    EXPECT_EQ(list->malformed, 1U);
    EXPECT_TRUE(list->complete);
}

struct LimitCase {
    const char *name;
    LibOnce::ClaimListLimits limits;
    size_t found;
};

// Guards against a truncated search that is reported as complete, and against a search that sends an unbounded number of requests to the store.
TEST_F(ClaimListTest, ReportsThatALimitWasReached)
{
    for (const LimitCase &row : {LimitCase{"claims", {.claims = 5}, 5}, LimitCase{"listings", {.listings = 1}, 0}}) {
        const auto list = LibOnce::listClaims(this->store, ClaimState::Unknown, row.limits, timeoutMs);
        ASSERT_TRUE(list.ok()) << list.status();
        EXPECT_EQ(list->claims.size(), row.found) << row.name;
        EXPECT_FALSE(list->complete) << row.name;
    }
    this->store.beforeCall = [](bool) {
        return StoreFault::Unavailable;
    };
    EXPECT_EQ(LibOnce::listClaims(this->store, ClaimState::Unknown, {}, timeoutMs).status().code(), absl::StatusCode::kUnavailable);
}

} // namespace
