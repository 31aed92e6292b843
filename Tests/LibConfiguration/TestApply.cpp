#include "Fixture.h"
#include <LibAudit/AuditArchive.h>
#include <gtest/gtest.h>
#include <thread>

namespace
{

using LibConfiguration::ApplyOutcome;
using LibConfiguration::ApplyResult;
using Tests::changeRequest;
using Tests::siteDocument;

struct FaultCase {
    const char *name;
    Tests::StoreDouble::Faults faults;
    ApplyResult result;
    /// Whether the change is in the store once the fault is over.
    bool inEffect;
};

class ApplyFaultTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against an accepted change being reported as not accepted (or the reverse) when a request or response is lost, and against a repeated request that
// applies the change twice.
TEST_P(ApplyFaultTest, ReportsWhatHappened)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    store.set(GetParam().faults);
    const ApplyOutcome outcome = node.service->apply(changeRequest("second", 1, siteDocument(false)));
    EXPECT_EQ(outcome.result, GetParam().result) << outcome.message;
    store.set({});
    const auto stored = store.get("config", "taller", 0);
    ASSERT_TRUE(stored.ok());
    EXPECT_EQ(LibSettings::parseRevision(stored->value)->number, GetParam().inEffect ? 2U : 1U);
    const ApplyOutcome repeated = node.service->apply(changeRequest("second", 1, siteDocument(false)));
    EXPECT_EQ(repeated.result, ApplyResult::Accepted) << repeated.message;
    EXPECT_EQ(repeated.revision, 2U);
    EXPECT_EQ(node.service->current()->revision.number, 2U);
}

INSTANTIATE_TEST_SUITE_P(Table, ApplyFaultTest,
                         testing::Values(FaultCase{"none", {}, ApplyResult::Accepted, true}, //
                                         FaultCase{"response_lost", {.loseResponses = 1}, ApplyResult::Accepted, true},
                                         FaultCase{"response_lost_then_down", {.loseResponses = 1, .downAfterLostResponse = true}, ApplyResult::Unknown, true},
                                         FaultCase{"request_lost_once", {.loseRequests = 1}, ApplyResult::Accepted, true},
                                         FaultCase{"requests_lost", {.loseRequests = 100}, ApplyResult::Unknown, false},
                                         FaultCase{"down", {.down = true}, ApplyResult::StoreUnreachable, false}),
                         [](const auto &info) { return info.param.name; });

// Guards against the changes of two operators both being accepted on top of the same revision.
TEST(Apply, AcceptsOneOfConcurrentChanges)
{
    constexpr int operators = 8;
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    std::vector<std::unique_ptr<Tests::ConfigurationNode>> nodes;
    nodes.reserve(operators);
    for (int i = 0; i < operators; ++i) {
        nodes.push_back(std::make_unique<Tests::ConfigurationNode>(i + 1, store, clock));
    }
    ASSERT_EQ(nodes[0]->service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    std::vector<ApplyOutcome> outcomes(operators);
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (int i = 0; i < operators; ++i) {
        threads.emplace_back([&, i] {
            auto request = changeRequest(AK::concat("race-", i), 1);
            request.author = AK::concat("operator-", i);
            outcomes[i] = nodes[i]->service->apply(request);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const auto winner = std::find_if(outcomes.begin(), outcomes.end(), [](const ApplyOutcome &outcome) { return outcome.result == ApplyResult::Accepted; });
    ASSERT_NE(winner, outcomes.end());
    for (const ApplyOutcome &outcome : outcomes) {
        if (&outcome != &*winner) {
            EXPECT_EQ(outcome.result, ApplyResult::Conflict) << outcome.message;
            ASSERT_TRUE(outcome.winner);
            EXPECT_EQ(outcome.winner->author, AK::concat("operator-", winner - outcomes.begin()));
            EXPECT_EQ(outcome.winner->revisionAfter, 2U);
        }
    }
}

// Guards against a conflict being reported as "store unreachable" when the competing revision comes into force while the response of the store is in transit.
// This failure occurred in TestRacingOperators on a busy machine.
TEST(Apply, ReportsAConflictThatArisesDuringTheRead)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    store.afterNextRead([&] {
        auto winner = changeRequest("winner", 1);
        winner.author = "ana";
        EXPECT_EQ(node.service->apply(winner).result, ApplyResult::Accepted);
    });
    const ApplyOutcome outcome = node.service->apply(changeRequest("loser", 1, siteDocument(false)));
    EXPECT_EQ(outcome.result, ApplyResult::Conflict) << outcome.message;
    ASSERT_TRUE(outcome.winner);
    EXPECT_EQ(outcome.winner->author, "ana");
    EXPECT_EQ(node.service->current()->revision.number, 2U);
}

// Guards against a change being based on a stale response of the store, which would restore values that a newer revision has replaced.
TEST(Apply, RefusesStaleResponses)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    ASSERT_EQ(node.service->apply(changeRequest("second", 1)).result, ApplyResult::Accepted);
    store.set({.stale = true});
    EXPECT_EQ(node.service->apply(changeRequest("third", 1, siteDocument(false))).result, ApplyResult::StoreUnreachable);
}

struct RefusalCase {
    const char *name;
    nlohmann::json document;
    bool force;
    /// Upstream under an emergency restriction before the change.
    const char *restricted;
    ApplyResult result;
};

class ApplyRefusalTest : public testing::TestWithParam<RefusalCase>
{
};

nlohmann::json siteDocumentWith(const char *pointer, const nlohmann::json &value)
{
    nlohmann::json document = siteDocument();
    document[nlohmann::json::json_pointer(pointer)] = value;
    return document;
}

// Guards against an invalid document coming into force, and against a mistaken change that leaves a service without any upstream.
TEST_P(ApplyRefusalTest, ChecksTheDocument)
{
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    ASSERT_EQ(node.service->apply(changeRequest("first", 0)).result, ApplyResult::Accepted);
    if (GetParam().restricted != nullptr) {
        ASSERT_TRUE(node.service->restrict({"r-1", "", GetParam().restricted, "rosa", "", clock.wallTime() + 1'000}).ok());
    }
    auto request = changeRequest("second", 1, GetParam().document);
    request.force = GetParam().force;
    const ApplyOutcome outcome = node.service->apply(request);
    EXPECT_EQ(outcome.result, GetParam().result) << outcome.message;
    EXPECT_EQ(node.service->current()->revision.number, GetParam().result == ApplyResult::Accepted ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ApplyRefusalTest,
    testing::Values(RefusalCase{"one_out", siteDocument(false), false, nullptr, ApplyResult::Accepted},
                    RefusalCase{"last_out", siteDocument(false, false), false, nullptr, ApplyResult::LastUpstream},
                    RefusalCase{"last_out_forced", siteDocument(false, false), true, nullptr, ApplyResult::Accepted},
                    RefusalCase{"last_unrestricted_out", siteDocument(false), false, "a-2", ApplyResult::LastUpstream},
                    RefusalCase{"records_restriction", siteDocument(true, false), false, "a-2", ApplyResult::Accepted},
                    RefusalCase{"domain_of_last_out", siteDocumentWith("/failure_domains/cusco/in_service", false), false, "a-1", ApplyResult::LastUpstream},
                    RefusalCase{"other_site", siteDocumentWith("/site", "mechelen"), false, nullptr, ApplyResult::Invalid},
                    RefusalCase{"unknown_domain", siteDocumentWith("/upstreams/a-1/failure_domain", "puno"), false, nullptr, ApplyResult::Invalid},
                    RefusalCase{"unknown_field", siteDocumentWith("/replicas", 3), true, nullptr, ApplyResult::Invalid}),
    [](const auto &info) { return info.param.name; });

// Guards against a gap in the audit trail when older entries are moved from the configuration object to the archive, also when a response is lost meanwhile.
TEST(Apply, KeepsTheWholeAuditTrail)
{
    constexpr uint64_t changes = 200;
    Tests::StoreDouble store;
    const Tests::SettableClock clock;
    Tests::ConfigurationNode node(1, store, clock);
    for (uint64_t i = 0; i < changes; ++i) {
        store.set({.loseResponses = i % 3 == 0 ? 1 : 0});
        ASSERT_EQ(node.service->apply(changeRequest(AK::concat("change-", i), i)).result, ApplyResult::Accepted);
    }
    const nlohmann::json tail = node.service->current()->revision.audit;
    EXPECT_GE(tail.size(), LibAudit::archiveBatchSize);
    EXPECT_LT(tail.size(), 2 * LibAudit::archiveBatchSize);
    auto archived = LibAudit::readArchive(store, "taller", 0);
    ASSERT_TRUE(archived.ok()) << archived.status();
    const nlohmann::json trail = LibAudit::joinTrails(*archived, tail);
    EXPECT_EQ(trail.size(), changes);
    EXPECT_TRUE(LibAudit::verifyTrail(trail, true).ok()) << LibAudit::verifyTrail(trail, true);
}

} // namespace
