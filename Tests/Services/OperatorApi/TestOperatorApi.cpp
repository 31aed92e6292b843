#include <AK/Hash.h>
#include <Addresses/AddressService.h>
#include <LibAudit/AuditTrail.h>
#include <LibConfiguration/Fixture.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <Operator/OperatorService.h>
#include <gtest/gtest.h>

namespace
{

const std::string operatorKey = "key-of-rosa";

LibMembership::Member entryMember(int number, const std::string &domain, LibMembership::MemberStatus status)
{
    LibMembership::Member member;
    member.name = AK::concat("entry-", number);
    member.failureDomain = domain;
    member.httpAddress = {AK::concat("127.0.0.", number), 7100};
    member.status = status;
    return member;
}

/// Operator API and address API of one process over HTTP, with an in-memory store.
class OperatorApiTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->node.settings.operators = {{"rosa", AK::sha256Hex(operatorKey)}};
        ASSERT_TRUE(this->server.start().ok());
    }

    bool serve(LibHttp::HttpExchange &exchange)
    {
        return this->addresses.handle(exchange) || this->operators.handle(exchange);
    }

    LibHttp::HttpResponse call(const std::string &method, const std::string &path, const std::string &body = "", const std::string &key = operatorKey)
    {
        auto response =
            LibHttp::httpCall(this->address, {.method = method, .path = path, .headers = {{"authorization", "Bearer " + key}}, .body = body}, 10'000);
        EXPECT_TRUE(response.ok()) << response.status();
        return response.ok() ? *response : LibHttp::HttpResponse{};
    }

    LibHttp::HttpResponse apply(const std::string &changeId, uint64_t expected, const nlohmann::json &document, bool force = false)
    {
        const nlohmann::json body{{"document", document}, {"expected_revision", expected}, {"change_id", changeId}, {"reason", "test"}, {"force", force}};
        return this->call("POST", "/operator/v1/apply", body.dump());
    }

    Tests::StoreDouble store;
    const AK::SystemClock clock{};
    Tests::ConfigurationNode node{1, store, clock};
    Operator::OperatorService operators{node.settings, clock, *node.service, node.membership, store, node.metrics};
    Addresses::AddressService addresses{node.settings, clock, *node.service, node.membership};
    AK::Endpoint address{node.settings.rpcAddress.host, 7100};
    LibHttp::HttpServer server{address, {.threads = 4}, [this](LibHttp::HttpExchange &exchange) {
                                   if (!this->serve(exchange)) {
                                       exchange.respond(LibHttp::jsonResponse(404, "{}"));
                                   }
                               }};
};

// Guards against an operator API that accepts requests without a valid key, and against a recorded author other than the owner of the key.
TEST_F(OperatorApiTest, AuthorIsTheOwnerOfTheKey)
{
    for (const char *path : {"/operator/v1/revision", "/operator/v1/status", "/operator/v1/audit"}) {
        EXPECT_EQ(this->call("GET", path, "", "another key").status, 401) << path;
    }
    EXPECT_EQ(this->call("POST", "/operator/v1/apply", "{}", "").status, 401);
    ASSERT_EQ(this->apply("first", 0, Tests::siteDocument()).status, 200);
    const nlohmann::json audit = nlohmann::json::parse(this->call("GET", "/operator/v1/audit").body);
    ASSERT_EQ(audit["entries"].size(), 1U);
    EXPECT_EQ(audit["entries"][0]["author"], "rosa");
}

struct RequestCase {
    const char *name;
    const char *path;
    nlohmann::json body;
    int status;
};

class MalformedRequestTest : public OperatorApiTest, public testing::WithParamInterface<RequestCase>
{
};

// Guards against a malformed request that is accepted or gets a status that the command line tool does not expect.
TEST_P(MalformedRequestTest, IsRejected)
{
    ASSERT_EQ(this->apply("first", 0, Tests::siteDocument()).status, 200);
    EXPECT_EQ(this->call("POST", GetParam().path, GetParam().body.dump()).status, GetParam().status);
    EXPECT_EQ(this->node.service->current()->revision.number, 1U);
    EXPECT_TRUE(this->node.service->current()->restrictions.empty());
}

const std::string applyPath = "/operator/v1/apply";
const std::string restrictionPath = "/operator/v1/restrictions";

INSTANTIATE_TEST_SUITE_P(
    Table, MalformedRequestTest,
    testing::Values(
        RequestCase{"no_object", applyPath.c_str(), nlohmann::json::array(), 422},
        RequestCase{"no_revision", applyPath.c_str(), {{"document", Tests::siteDocument()}, {"change_id", "x"}}, 422},
        RequestCase{"no_change_id", applyPath.c_str(), {{"document", Tests::siteDocument()}, {"expected_revision", 1}}, 422},
        RequestCase{"old_revision", applyPath.c_str(), {{"document", Tests::siteDocument()}, {"expected_revision", 0}, {"change_id", "x"}}, 409},
        RequestCase{"last_upstream", applyPath.c_str(), {{"document", Tests::siteDocument(false, false)}, {"expected_revision", 1}, {"change_id", "x"}}, 422},
        RequestCase{"two_targets", restrictionPath.c_str(), {{"failure_domain", "lima"}, {"upstream", "a-1"}}, 422},
        RequestCase{"unknown_domain", restrictionPath.c_str(), {{"failure_domain", "quito"}}, 422},
        RequestCase{"too_long", restrictionPath.c_str(), {{"failure_domain", "lima"}, {"ttl_ms", 7'200'001}}, 422},
        RequestCase{"unknown_path", "/operator/v1/restart", {}, 404}),
    [](const auto &info) { return info.param.name; });

// Guards against a change that stays rejected after a store outage, and against a restriction that needs the store.
TEST_F(OperatorApiTest, StoreOutageRefusesChangesAndAllowsRestrictions)
{
    ASSERT_EQ(this->apply("first", 0, Tests::siteDocument()).status, 200);
    this->store.set({.down = true});
    EXPECT_EQ(this->apply("second", 1, Tests::siteDocument(false)).status, 503);
    const LibHttp::HttpResponse restricted = this->call("POST", restrictionPath, R"({"failure_domain":"lima","reason":"flood"})");
    EXPECT_EQ(restricted.status, 202) << restricted.body;
    const nlohmann::json status = nlohmann::json::parse(this->call("GET", "/operator/v1/status").body);
    ASSERT_EQ(status["restrictions"].size(), 1U);
    EXPECT_EQ(status["restrictions"][0]["failure_domain"], "lima");
    EXPECT_EQ(status["restrictions"][0]["author"], "rosa");
    this->store.set({});
    EXPECT_EQ(this->apply("second", 1, Tests::siteDocument(false)).status, 200);
}

// Guards against archived audit entries that are missing from the response, and against an incomplete trail that is returned as complete.
TEST_F(OperatorApiTest, AuditIncludesArchivedBatches)
{
    constexpr uint64_t changes = 200;
    for (uint64_t i = 0; i < changes; ++i) {
        ASSERT_EQ(this->apply(AK::concat("change-", i), i, Tests::siteDocument(i % 2 == 0)).status, 200);
    }
    ASSERT_LT(this->node.service->current()->revision.audit.size(), changes);
    const nlohmann::json audit = nlohmann::json::parse(this->call("GET", "/operator/v1/audit").body);
    EXPECT_EQ(audit["entries"].size(), changes);
    EXPECT_EQ(LibAudit::verifyTrail(audit["entries"], true), absl::OkStatus());
    this->store.set({.down = true});
    EXPECT_EQ(this->call("GET", "/operator/v1/audit").status, 503);
}

// Guards against callers that get the addresses of entries that are dead, leaving or in a restricted failure domain.
TEST_F(OperatorApiTest, AddressesNameUsableEntriesOnly)
{
    using LibMembership::MemberStatus;
    EXPECT_EQ(this->call("GET", "/v1/addresses").status, 503);
    ASSERT_EQ(this->apply("first", 0, Tests::siteDocument()).status, 200);
    this->node.membership.memberList = {entryMember(1, "lima", MemberStatus::Alive), entryMember(2, "lima", MemberStatus::Leaving),
                                        entryMember(3, "cusco", MemberStatus::Dead), entryMember(4, "cusco", MemberStatus::Alive)};
    const auto names = [this] {
        std::set<std::string> found;
        const nlohmann::json answer = nlohmann::json::parse(this->call("GET", "/v1/addresses").body);
        EXPECT_GT(answer.value("ttl_ms", 0), 0);
        for (const nlohmann::json &entry : answer["entries"]) {
            found.insert(entry.value("name", ""));
        }
        return found;
    };
    EXPECT_EQ(names(), (std::set<std::string>{"entry-1", "entry-4"}));
    ASSERT_EQ(this->call("POST", restrictionPath, R"({"failure_domain":"lima"})").status, 202);
    EXPECT_EQ(names(), std::set<std::string>{"entry-4"});
    this->node.membership.memberList = {entryMember(4, "cusco", MemberStatus::Suspect)};
    // A process that lost its network connection suspects all others; the address of a suspect is better than none.
    EXPECT_EQ(names(), std::set<std::string>{"entry-4"});
    EXPECT_EQ(this->call("POST", "/v1/addresses").status, 405);
}

} // namespace
