#include "CommandTest.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <Utilities/catkinlink/Commands.h>
#include <gtest/gtest.h>

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::ApplyMode;
using CatkinlinkTest::CommandTest;

const std::string exampleFolder = EXAMPLE_FOLDER;

struct ApplyCase {
    const char *name;
    std::string line;
    std::deque<ApplyMode> modes;
    ExitCode code;
    /// A part of what is printed.
    const char *printed;
    int applies;
};

class ApplyTest : public CommandTest, public testing::WithParamInterface<ApplyCase>
{
};

// Guards against an exit code that gives a script the wrong outcome, against a change that is sent again although it may have taken effect, and against a
// change that overwrites another operator's.
TEST_P(ApplyTest, ExitCodeTellsTheOutcome)
{
    this->first.planApplies(GetParam().modes);
    const std::string base = this->write("changed", [this] {
        nlohmann::json changed = this->example;
        changed["accounts"]["tests"]["weight"] = 2;
        return changed.dump();
    }());
    const bool apply = GetParam().line.starts_with("apply");
    const ExitCode code = this->run(GetParam().line + " --reason test" + (apply ? " --base " + base : ""));
    EXPECT_EQ(code, GetParam().code) << this->text();
    EXPECT_NE(this->text().find(GetParam().printed), std::string::npos) << this->text();
    EXPECT_EQ(this->first.applies(), GetParam().applies);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ApplyTest,
    testing::Values(
        ApplyCase{"accepted", "apply", {}, ExitCode::Done, "in force on 1 of 1 live members", 1},
        ApplyCase{"conflict", "apply", {ApplyMode::Conflict}, ExitCode::Refused, "/accounts/workshop/weight: 4 -> 6", 1},
        ApplyCase{
            "conflict_names_the_other_change", "apply", {ApplyMode::Conflict}, ExitCode::Refused, "by rosa at 2023-11-14 22:13:20 UTC (reason of rosa)", 1},
        ApplyCase{"wrong_expected_revision", "apply --expected-revision 9", {}, ExitCode::Refused, "revision 9 was expected", 1},
        ApplyCase{"last_capacity", "apply", {ApplyMode::LastCapacity}, ExitCode::Refused, "--force", 1},
        ApplyCase{"invalid", "apply", {ApplyMode::Invalid}, ExitCode::InvalidSettings, "/site is", 1},
        ApplyCase{"store_down", "apply", {ApplyMode::StoreDown}, ExitCode::NotAccepted, "not accepted", 1},
        ApplyCase{"lost_response_after", "apply", {ApplyMode::LoseResponseAfter}, ExitCode::Done, "accepted in revision 2", 1},
        ApplyCase{"cut_response_after", "apply", {ApplyMode::CutResponseAfter}, ExitCode::Done, "accepted in revision 2", 1},
        ApplyCase{"json", "apply --json", {}, ExitCode::Done, R"({"accepted":true,"in_force_on":1,"members":1,"revision":2})", 1},
        ApplyCase{"json_refusal", "apply --json", {ApplyMode::Conflict}, ExitCode::Refused, R"("exit_code":4)", 1},
        ApplyCase{"lost_response_before", "apply", {ApplyMode::LoseResponseBefore}, ExitCode::OutcomeUnknown, "is not known", 1},
        ApplyCase{"lost_response_other_accepted", "apply", {ApplyMode::LoseResponseAndConflict}, ExitCode::Refused, "by rosa", 1},
        ApplyCase{"domain_out", "domain out north", {}, ExitCode::Done, "failure domain north out: accepted in revision 2", 1},
        ApplyCase{"domain_already_in", "domain in north", {}, ExitCode::Done, "revision 1", 0},
        ApplyCase{"unknown_domain", "domain out nroth", {}, ExitCode::InvalidSettings, "use one of east, north, south", 0},
        ApplyCase{"upstream_out_after_conflicts", "upstream out bench-1", {ApplyMode::Conflict, ApplyMode::Conflict}, ExitCode::Done, "by rosa", 3},
        ApplyCase{"upstream_out_at_a_late_entry", "upstream out bench-1", {ApplyMode::ConflictUnseen}, ExitCode::Done, "by rosa", 2},
        ApplyCase{"emergency", "domain out north --emergency", {ApplyMode::StoreDown}, ExitCode::Done, "in force on 3 of 4, not recorded", 1},
        ApplyCase{"no_emergency_asked", "domain out north", {ApplyMode::StoreDown}, ExitCode::NotAccepted, "--emergency", 1},
        ApplyCase{"rollback_without_previous", "rollout rollback bench-assistant", {}, ExitCode::Refused, "no previous version", 0},
        ApplyCase{"rollout_of_plain_service", "rollout pause order-desk", {}, ExitCode::InvalidSettings, "serves no weights", 0},
        ApplyCase{"rollout_after_conflicting_change",
                  "rollout start bench-assistant --weights-version 2 --root " + std::string(64, 'b'),
                  {ApplyMode::ConflictOnField},
                  ExitCode::Refused,
                  "changed /services/bench-assistant/target",
                  1}),
    [](const auto &info) { return info.param.name; });

// Guards against a change that runs at two entries, and against giving up while another entry could accept it.
TEST_F(CommandTest, TriesTheNextEntryOnlyAfterARefusal)
{
    const std::vector<std::string> next{"--reason", "test", "--entry", this->first.endpoint().text(), "--entry", this->second.endpoint().text()};
    this->first.planApplies({ApplyMode::LoseResponseBefore});
    EXPECT_EQ(this->run("domain out south", next), ExitCode::OutcomeUnknown) << this->text();
    EXPECT_EQ(this->second.applies(), 0);
    this->first.planApplies({ApplyMode::StoreDown});
    EXPECT_EQ(this->run("domain out north", next), ExitCode::Done) << this->text();
    EXPECT_EQ(this->second.applies(), 1);
    const std::vector<std::string> closed{"--reason", "test", "--entry", this->first.endpoint().host + ":7109"};
    EXPECT_EQ(this->run("domain out north", closed), ExitCode::Done) << this->text();
}

// Guards against a rollout that loses the version for a rollback, or that sets another root than the weight store has.
TEST_F(CommandTest, RolloutMovesTargetAndPrevious)
{
    const nlohmann::json before = this->example["services"]["bench-assistant"]["target"];
    EXPECT_EQ(this->run("rollout start bench-assistant --weights-version 2 --reason r --weight-store " + this->second.endpoint().text()), ExitCode::Done)
        << this->text();
    nlohmann::json service = this->first.document()["services"]["bench-assistant"];
    EXPECT_EQ(service["previous"], before);
    EXPECT_EQ(service["target"],
              (nlohmann::json{{"model", "glue-line"}, {"adapter", "base"}, {"version", "2"}, {"root", LibWeights::rootOf(CatkinlinkTest::exampleManifest())}}));
    EXPECT_EQ(this->run("rollout pause bench-assistant --reason r"), ExitCode::Done);
    EXPECT_EQ(this->first.document()["services"]["bench-assistant"]["rollout"]["paused"], true);
    EXPECT_EQ(this->run("rollout rollback bench-assistant --reason r"), ExitCode::Done);
    EXPECT_NE(this->text().find("the rollout is paused"), std::string::npos);
    EXPECT_EQ(this->first.document()["services"]["bench-assistant"]["target"], before);
}

// Guards against a restriction that stays after the failure domain is back.
TEST_F(CommandTest, ReturningADomainSettlesItsRestriction)
{
    this->first.planApplies({ApplyMode::StoreDown});
    ASSERT_EQ(this->run("domain out north --emergency --reason fire"), ExitCode::Done) << this->text();
    ASSERT_EQ(this->first.restrictions(), 1);
    EXPECT_EQ(this->run("domain in north --reason over"), ExitCode::Done) << this->text();
    EXPECT_EQ(this->first.document()["settled_restrictions"], nlohmann::json::array({"r1"}));
}

// Guards against files that return a failure domain to service without a warning after an operator took it out.
TEST_F(CommandTest, ApplyWarnsOfAReturnToService)
{
    ASSERT_EQ(this->run("domain out north --reason fire"), ExitCode::Done);
    EXPECT_EQ(this->run("apply --reason files --base " + exampleFolder + "/base.json"), ExitCode::Done);
    EXPECT_NE(this->error.str().find("return to service /failure_domains/north/in_service"), std::string::npos) << this->text();
}

struct FileCase {
    const char *name;
    const char *overlay;
    const char *printed;
};

// Guards against a bad file that is accepted or whose error does not say where the mistake is.
TEST_F(CommandTest, ValidateNamesThePathOfTheField)
{
    const std::vector<FileCase> cases{
        {"unknown_field", R"({"accounts":{"tests":{"wieght":2}}})", "/accounts/tests"},
        {"wrong_type", R"({"accounts":{"tests":{"weight":"two"}}})", "/accounts/tests/weight"},
        {"unknown_host", R"({"upstreams":{"bench-99":{"in_service":false}}})", "/upstreams/bench-99"},
        {"no_json", "{", "no_json"},
    };
    const std::string line = "validate --base " + exampleFolder + "/base.json --overlay ";
    for (const FileCase &row : cases) {
        EXPECT_EQ(this->run(line + this->write(row.name, row.overlay), {}, false), ExitCode::InvalidSettings) << row.name;
        EXPECT_NE(this->text().find(row.printed), std::string::npos) << this->text();
    }
    EXPECT_EQ(this->run(line + "/nonexistent.json", {}, false), ExitCode::InvalidSettings);
    EXPECT_NE(this->text().find("/nonexistent.json"), std::string::npos);
    for (const char *site : {"costilla-luz", "mechelen"}) {
        EXPECT_EQ(this->run(AK::concat(line, exampleFolder, "/", site, ".json"), {}, false), ExitCode::Done) << this->text();
        EXPECT_NE(this->text().find(AK::concat("site ", site, ", 3 failure domains, 3 services")), std::string::npos) << this->text();
    }
}

// Guards against an altered audit trail that passes verification, and against a diff that misses a field.
TEST_F(CommandTest, ReadsAuditAndDifferences)
{
    ASSERT_EQ(this->run("domain out north --reason one"), ExitCode::Done);
    ASSERT_EQ(this->run("domain in north --reason two"), ExitCode::Done);
    EXPECT_EQ(this->run("audit verify"), ExitCode::Done) << this->text();
    EXPECT_NE(this->text().find("verified 2 entries, sequence 1 to 2"), std::string::npos) << this->text();
    ASSERT_EQ(this->run("audit --json"), ExitCode::Done);
    const nlohmann::json entries = nlohmann::json::parse(this->out.str())["entries"];
    nlohmann::json altered = entries;
    altered[0]["author"] = "nobody";
    EXPECT_FALSE(Catkinlink::verifyAudit(altered).ok());
    altered[0].erase("hash");
    altered[0]["hash"] = AK::sha256Hex(altered[0].dump());
    EXPECT_FALSE(Catkinlink::verifyAudit(altered).ok());
    EXPECT_FALSE(Catkinlink::verifyAudit(nlohmann::json::array({entries[1], entries[0]})).ok());
    // Without its oldest entries the trail is consistent in itself.
    EXPECT_FALSE(Catkinlink::verifyAudit(nlohmann::json::array({entries[1]})).ok());
    ASSERT_EQ(this->run("upstream out ledger-1 --reason three"), ExitCode::Done);
    EXPECT_EQ(this->run("diff --base " + exampleFolder + "/base.json"), ExitCode::Done);
    EXPECT_NE(this->text().find("/upstreams/ledger-1/in_service: false -> (absent)"), std::string::npos) << this->text();
}

// Guards against a call that is repeated at another entry although it may have run, and against a false "not run".
TEST_F(CommandTest, CallsAreRepeatedOnlyWhenNotRun)
{
    const std::vector<std::string> both{"--entry", this->second.endpoint().text()};
    const std::string line = "call order-desk --path /shipments --method POST --idempotency-key k --entry " + this->first.endpoint().text();
    this->first.setCallResponse(503, "done");
    EXPECT_EQ(this->run(line, both), ExitCode::Failed);
    EXPECT_EQ(this->second.calls(), 0);
    this->first.setCallResponse(409, "unknown");
    EXPECT_EQ(this->run(line, both), ExitCode::OutcomeUnknown);
    EXPECT_EQ(this->second.calls(), 0);
    this->first.setCallResponse(503, "not_run");
    EXPECT_EQ(this->run(line, both), ExitCode::Done);
    EXPECT_EQ(this->second.calls(), 1);
}

// Guards against a mistyped command line that does something else than was meant.
TEST_F(CommandTest, RefusesWrongUsage)
{
    for (const char *line : {"", "aply", "rollout", "apply --base x", "status --entry nowhere:1 --key-file k", "domain out north --reason r --wait soon",
                             "status --unknown", "rollout start s --weights-version 2 --reason r", "domain out"}) {
        const bool connected = std::string(line).starts_with("rollout start");
        EXPECT_EQ(this->run(line, {}, connected), ExitCode::Usage) << line << this->text();
        EXPECT_NE(this->text().find("--help"), std::string::npos) << line;
    }
    EXPECT_EQ(this->run("status --key-file /nonexistent --entry 127.0.0.1:1", {}, false), ExitCode::Usage);
    EXPECT_EQ(this->run("status --key-file " + this->write("wrong", "wrong") + " --entry " + this->first.endpoint().text(), {}, false), ExitCode::Failed);
    EXPECT_EQ(this->run("rollout start --help", {}, false), ExitCode::Done);
    EXPECT_NE(this->text().find("--weight-store"), std::string::npos);
    EXPECT_EQ(this->run("--version", {}, false), ExitCode::Done);
}

} // namespace
