#include "CommandTest.h"

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::CommandTest;

// Guards against a table with shifted columns, and against a status that hides a restriction.
TEST_F(CommandTest, StatusShowsMembersAndRestrictions)
{
    this->first.setMembers({{{"name", "entry-1"}, {"role", "entry"}, {"status", "alive"}, {"region", "coast"}, {"failure_domain", "north"}},
                            {{"name", "bench-12"},
                             {"role", "agent"},
                             {"status", "suspect"},
                             {"region", "highland"},
                             {"failure_domain", "east"},
                             {"service", "bench-assistant"},
                             {"serving_state", "serving"},
                             {"weights_root", std::string(64, 'a')}}});
    ASSERT_EQ(this->run("status"), ExitCode::Done) << this->text();
    EXPECT_EQ(this->text(),
              "revision 1 at entry-1\n"
              "NAME      ROLE   STATUS   REGION    FAILURE DOMAIN  REVISION  SERVICE          STATE    WEIGHTS\n"
              "entry-1   entry  alive    coast     north           1                                   -\n"
              "bench-12  agent  suspect  highland  east            0         bench-assistant  serving  aaaaaaaaaaaa\n");
    this->first.planApplies({CatkinlinkTest::ApplyMode::StoreDown});
    ASSERT_EQ(this->run("domain out north --emergency --reason fire"), ExitCode::Done) << this->text();
    ASSERT_EQ(this->run("status"), ExitCode::Done);
    EXPECT_NE(this->text().find("provisional restriction r1: out of service: north (fire)\n"), std::string::npos) << this->text();
}

// Guards against a change reported as in force everywhere while a slow process still uses the previous revision.
TEST_F(CommandTest, SuspectsAreAwaited)
{
    this->first.setMembers({{{"name", "entry-1"}, {"status", "alive"}}, {{"name", "bench-1"}, {"status", "suspect"}}, {{"name", "gone"}, {"status", "dead"}}});
    ASSERT_EQ(this->run("domain out north --reason fire"), ExitCode::Done) << this->text();
    EXPECT_NE(this->text().find("in force on 1 of 2 live members\nwarning: "), std::string::npos) << this->text();
}

// Guards against addresses that a script cannot read, and against a cache time that is not shown.
TEST_F(CommandTest, AddressShowsEntriesAndCacheTime)
{
    ASSERT_EQ(this->run("address"), ExitCode::Done) << this->text();
    EXPECT_EQ(this->text(), "10.0.0.3:7100  entry-2  north\nmay be cached for 5000 ms\n");
}

// Guards against messages mixed into the response body: only the body goes to standard output.
TEST_F(CommandTest, CallShowsBodyAndOutcome)
{
    this->first.setCallResponse(200, "done");
    ASSERT_EQ(this->run("call order-desk --path /shipments --method POST --idempotency-key k"), ExitCode::Done) << this->text();
    EXPECT_EQ(this->out.str(), "{}\n");
    EXPECT_EQ(this->error.str(), "status 200, outcome done\n");
    this->first.setCallResponse(409, "unknown");
    ASSERT_EQ(this->run("call order-desk --path /shipments --method POST --idempotency-key k"), ExitCode::OutcomeUnknown);
    EXPECT_NE(this->error.str().find("status 409, outcome unknown\ncatkinlink: the outcome of the call is not known\nnext: "), std::string::npos)
        << this->text();
}

} // namespace
