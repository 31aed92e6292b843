#include "ProcessTest.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <thread>

namespace
{

LibHttp::HttpHeaders operatorHeaders(Harness::Site &site)
{
    return {{"authorization", "Bearer " + site.operatorKey()}, {"content-type", "application/json"}};
}

absl::StatusOr<LibHttp::HttpResponse> applyAt(Harness::Site &site, int entry, const nlohmann::json &body)
{
    return LibHttp::httpCall(site.entryAddress(entry), {.method = "POST", .path = "/operator/v1/apply", .headers = operatorHeaders(site), .body = body.dump()},
                             10'000);
}

nlohmann::json auditOf(Harness::Site &site)
{
    const auto audit = Harness::getJson(site.entryAddress(1), "/operator/v1/audit", operatorHeaders(site));
    EXPECT_TRUE(audit.ok()) << audit.status();
    return audit.ok() ? audit->at("entries") : nlohmann::json::array();
}

auto countChange(const nlohmann::json &audit, const std::string &changeId)
{
    return std::ranges::count_if(audit, [&](const nlohmann::json &entry) { return entry.value("change_id", "") == changeId; });
}

// Guards against accepting both of two concurrent changes, and against a rejection that does not name the author and reason of the accepted change.
TEST(RacingOperatorsTest, OneIsAcceptedAndTheOtherLearnsTheAuthor)
{
    Harness::Site site(smallPlan({orderDesk(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    uint64_t expected = 1;
    for (int round = 0; round < 10; ++round) {
        std::array<absl::StatusOr<LibHttp::HttpResponse>, 2> responses;
        std::vector<std::thread> operators;
        operators.reserve(2);
        for (int side = 0; side < 2; ++side) {
            operators.emplace_back([&, side] {
                nlohmann::json document = site.initialDocument();
                document["accounts"][AK::concat("account-", side + 1)]["weight"] = round + 2;
                responses[static_cast<size_t>(side)] = applyAt(site, side + 1,
                                                               {{"document", document},
                                                                {"expected_revision", expected},
                                                                {"change_id", AK::concat("round-", round, "-side-", side)},
                                                                {"reason", AK::concat("reason of side ", side)}});
            });
        }
        for (std::thread &thread : operators) {
            thread.join();
        }
        ASSERT_TRUE(responses[0].ok() && responses[1].ok()) << responses[0].status() << responses[1].status();
        const size_t winner = responses[0]->status == 200 ? 0 : 1;
        ASSERT_EQ(responses[winner]->status, 200) << responses[winner]->body;
        ASSERT_EQ(responses[1 - winner]->status, 409) << responses[1 - winner]->body;
        const nlohmann::json conflict = nlohmann::json::parse(responses[1 - winner]->body);
        EXPECT_EQ(conflict.value("author", ""), "rosa");
        EXPECT_EQ(conflict.value("reason", ""), AK::concat("reason of side ", winner));
        EXPECT_EQ(conflict.value("revision", uint64_t{0}), expected + 1);
        ++expected;
        const absl::Status spread = site.waitForRevision(expected, waitLimitMs);
        ASSERT_TRUE(spread.ok()) << spread;
        const nlohmann::json audit = auditOf(site);
        EXPECT_EQ(countChange(audit, AK::concat("round-", round, "-side-", winner)), 1);
        EXPECT_EQ(countChange(audit, AK::concat("round-", round, "-side-", 1 - winner)), 0);
    }
}

// Guards against a change being reported as failed or recorded twice when the response of the store was lost.
TEST(LostResponseTest, ChangeIsAcceptedOnce)
{
    Harness::Site site(smallPlan({orderDesk(3)}));
    startSite(site);
    ASSERT_FALSE(HasFatalFailure());
    setFault(site.objectApi(), {{"mode", "lose_answers"}});
    nlohmann::json document = site.initialDocument();
    document["accounts"]["account-1"]["weight"] = 5;
    const nlohmann::json body{{"document", document}, {"expected_revision", 1}, {"change_id", "lost"}, {"reason", "lost answer"}};
    for (int entry = 1; entry <= 2; ++entry) {
        // In the second round the operator repeats the change at another entry.
        const auto response = applyAt(site, entry, body);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_EQ(nlohmann::json::parse(response->body).value("revision", 0), 2);
    }
    const absl::Status spread = site.waitForRevision(2, waitLimitMs);
    EXPECT_TRUE(spread.ok()) << spread;
    EXPECT_EQ(countChange(auditOf(site), "lost"), 1);
}

} // namespace
