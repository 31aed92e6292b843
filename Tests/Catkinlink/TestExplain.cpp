#include "CommandTest.h"

#include <AK/Text.h>
#include <Utilities/catkinlink/Explain.h>
#include <gtest/gtest.h>

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::CommandTest;

// The end of the request "r1" of every case, in ms.
constexpr AK::Milliseconds endTime = 100'000;

std::string logLine(AK::Milliseconds time, const std::string &process, const std::string &event, const std::string &fields)
{
    return AK::concat(R"({"time_ms":)", time, R"(,"level":"info","process":")", process, R"(","component":"x","event":")", event, "\"",
                      fields.empty() ? "" : ",", fields, "}\n");
}

std::string callEnded(const std::string &request, const std::string &fields)
{
    return logLine(endTime, "front-1", "call_ended", AK::concat(R"("request":")", request, R"(",)", fields));
}

struct ExplainCase {
    const char *name;
    std::string log;
    std::string cause;
};

class ExplainTest : public CommandTest, public testing::WithParamInterface<ExplainCase>
{
};

// Guards against a wrong cause, such as one taken from another process or from another time.
TEST_P(ExplainTest, NamesTheCause)
{
    const std::string log = this->write("log", GetParam().log);
    EXPECT_EQ(this->run(AK::concat("explain r1 ", log), {}, false), ExitCode::Done) << this->text();
    EXPECT_NE(this->text().find(AK::concat("cause: ", GetParam().cause)), std::string::npos) << this->text();
}

const std::string unknownKey = R"("result":"refused","status":401,"reason":"unknown key","sends":0,"configuration":7)";
const std::string quarantined = R"("result":"refused","status":503,"reason":"a part of the prompt is quarantined","prompt_parts":["a1","b2"],"sends":0)";
const std::string queueTooLong = R"("result":"refused","status":503,"reason":"queue_too_long","sends":0)";
const std::string noUpstream = R"("result":"refused","status":503,"reason":"no_upstream","sends":0)";
const std::string allPaused = R"("result":"refused","status":503,"reason":"all_paused","sends":0)";
const std::string refusedByUpstream = R"("result":"refused","status":503,"reason":"refused with 503","sends":2,"upstream":"i-1")";
const std::string noResponse = R"("result":"refused","status":504,"reason":"no answer: operation timed out","sends":1,"upstream":"i-1")";
const std::string streamCut = R"("result":"stream_cut","status":200,"reason":"stream cut: the peer reset the connection","sends":2,"upstream":"i-1")";

const std::string notContinued =
    R"("result":"stream_cut","status":200,"reason":"stream not continued: status 500: the status is not 200","sends":2,"upstream":"i-1")";
const std::string unprovenRefusal =
    R"("result":"refused","status":502,"reason":"unproven refusal: status 503 may mean another request","sends":1,"upstream":"i-1")";

INSTANTIATE_TEST_SUITE_P(
    Table, ExplainTest,
    testing::Values(
        ExplainCase{"revoked_key",
                    logLine(endTime - 400, "front-1", "configuration_in_force", R"("version":7)") + callEnded("r1", unknownKey)
                        + logLine(endTime + 50, "front-1", "configuration_in_force", R"("version":8)"),
                    "its key is in no account of configuration 7, which came into force 400 ms before."},
        ExplainCase{"overload",
                    callEnded("r0", queueTooLong) + callEnded("r1", queueTooLong)
                        + logLine(endTime - 300, "front-2", "upstream_removed", R"("upstream":"i-9")"),
                    "overload: every engine that the call could use was full and the queue was too long for its deadline; 1 other calls at this entry were "
                    "refused for the same reason within a second. It has not run."},
        ExplainCase{"overload_after_a_loss", logLine(endTime - 300, "front-1", "upstream_removed", R"("upstream":"i-9")") + callEnded("r1", queueTooLong),
                    "overload: every engine that the call could use was full and the queue was too long for its deadline; 0 other calls at this entry were "
                    "refused for the same reason within a second; last change of capacity: upstream_removed 300 ms before. It has not run."},
        ExplainCase{"weights", logLine(endTime - 9'000, "front-1", "weights_named", R"("version":2)") + callEnded("r1", noUpstream),
                    "no engine that the call could use held weights of version 2, named 9000 ms before"},
        ExplainCase{"overload_after_a_limit",
                    logLine(endTime - 300, "front-1", "upstream_limited", R"("upstream":"i-9","calls_per_second":3.5)") + callEnded("r1", queueTooLong),
                    "overload: every engine that the call could use was full and the queue was too long for its deadline; 0 other calls at this entry were "
                    "refused for the same reason within a second; last change of capacity: upstream_limited 300 ms before. It has not run."},
        ExplainCase{
            "all_paused",
            logLine(endTime - 900, "front-1", "upstream_paused", R"("upstream":"i-8","asked_ms":4000)")
                + logLine(endTime - 300, "front-1", "upstream_paused", R"("upstream":"i-9","asked_ms":3000)")
                + logLine(endTime - 100, "front-2", "upstream_paused", R"("upstream":"i-7","asked_ms":500)") + callEnded("r1", allPaused),
            "all upstreams that the call could use had asked entry front-1 for a pause; the last one was i-9 for 3000 ms, 300 ms before. It has not run."},
        ExplainCase{"paused_upstream",
                    logLine(endTime - 5, "front-1", "upstream_paused", R"("upstream":"i-1","asked_ms":1500)") + callEnded("r1", refusedByUpstream),
                    "the upstream asked for a pause of 1500 ms 5 ms before; upstream i-1: refused with 503. It has not run."},
        ExplainCase{"paused_for_another_entry",
                    logLine(endTime - 5, "front-2", "upstream_paused", R"("upstream":"i-1","asked_ms":1500)") + callEnded("r1", refusedByUpstream),
                    "only this call failed at the upstream"},
        ExplainCase{"leaving_upstream", logLine(endTime - 800, "front-2", "upstream_leaving", R"("upstream":"i-1","born":5)") + callEnded("r1", streamCut),
                    "the upstream said that it was leaving 800 ms before; upstream i-1: stream cut"},
        ExplainCase{"quarantined_part",
                    logLine(endTime - 900, "front-2", "part_quarantined", R"("part":"c9")")
                        + logLine(endTime - 400, "front-2", "part_quarantined", R"("part":"b2")") + callEnded("r1", quarantined),
                    "a part of its prompt crashes upstreams and is quarantined: b2, part_quarantined 400 ms before. It has not run."},
        ExplainCase{"quarantined_part_from_the_store",
                    logLine(endTime - 900, "front-1", "quarantined_parts", R"("parts":["b2","d4"])") + callEnded("r1", quarantined),
                    "a part of its prompt crashes upstreams and is quarantined: b2, quarantined_parts 900 ms before"},
        ExplainCase{"engine_crashed", callEnded("r1", streamCut) + logLine(endTime + 20, "front-1", "upstream_crashed", R"("upstream":"i-1","calls_broken":4)"),
                    "the upstream crashed 20 ms after with 4 calls of entry front-1"},
        ExplainCase{"engine_gone", callEnded("r1", noResponse) + logLine(endTime + 900, "front-1", "upstream_removed", R"("upstream":"i-1")"),
                    "the upstream left the store 900 ms after; upstream i-1: no answer: operation timed out. It may have run."},
        ExplainCase{"other_engine_gone", callEnded("r1", noResponse) + logLine(endTime + 900, "front-1", "upstream_removed", R"("upstream":"i-2")"),
                    "only this call failed at the upstream or on the connection to it; upstream i-1"},
        ExplainCase{"not_continued", callEnded("r1", notContinued),
                    "only this call failed at the upstream or on the connection to it; upstream i-1: stream not continued: status 500"},
        ExplainCase{"unproven_refusal", callEnded("r0", unprovenRefusal) + callEnded("r1", unprovenRefusal),
                    "the upstream failed 1 other calls within a second; upstream i-1: unproven refusal: status 503 may mean another request. It may have run."},
        ExplainCase{"engine_draining",
                    logLine(endTime - 700, "front-2", "upstream_changed", R"("upstream":"i-1","draining":true,"version":3,"born":5)")
                        + callEnded("r1", streamCut),
                    "the upstream changed 700 ms before (draining true, weights 3, started 5); upstream i-1: stream cut"},
        ExplainCase{"entry_stopping", logLine(endTime - 3'000, "front-1", "stopping", "") + callEnded("r1", streamCut),
                    "the entry was stopping (SIGTERM 3000 ms before)"},
        ExplainCase{"failing_engine", callEnded("r0", noResponse) + callEnded("r1", noResponse), "the upstream failed 1 other calls within a second"},
        ExplainCase{"late_by_waiting",
                    callEnded("r1", R"("result":"answered","status":200,"late":true,"waited_ms":500,"first_byte_ms":700,"longest_gap_ms":10)"),
                    "answered late: it waited 500 ms of 700 ms"},
        ExplainCase{"late_at_the_engine",
                    callEnded("r1", R"("result":"answered","status":200,"late":true,"waited_ms":10,"first_byte_ms":700,"longest_gap_ms":10,"load":6.0)"),
                    "answered late: the upstream took 690 ms to its first event, with 6.0 calls there"},
        ExplainCase{"client", callEnded("r1", R"("result":"client_left","status":0,"reason":"","took_ms":1200,"sends":1)"),
                    "the client closed its connection after 1200 ms"},
        ExplainCase{"behind_other_text", "  12.5 front-1 " + callEnded("r1", queueTooLong), "overload"}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a cause that is given although the logs lack the request, and against a failure on lines that are not JSON.
TEST_F(CommandTest, ExplainSaysWhenTheLogsLackTheRequest)
{
    const std::string log = this->write("log", callEnded("r2", queueTooLong) + "no object\n{\"broken\n");
    EXPECT_EQ(this->run(AK::concat("explain r1 ", log), {}, false), ExitCode::Failed);
    EXPECT_NE(this->text().find("no line says how request r1 ended"), std::string::npos) << this->text();
    EXPECT_EQ(this->run("explain r1", {}, false), ExitCode::Usage);
    EXPECT_EQ(this->run("explain r2 /nowhere/log", {}, false), ExitCode::InvalidSettings);
    EXPECT_EQ(this->run(AK::concat("explain r2 --json ", log), {}, false), ExitCode::Done);
    EXPECT_NE(this->text().find("\"request\":\"r2\""), std::string::npos) << this->text();
}

} // namespace
