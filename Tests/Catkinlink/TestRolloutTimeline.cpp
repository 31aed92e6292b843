#include "CommandTest.h"

#include <AK/Text.h>
#include <Utilities/catkinlink/RolloutTimeline.h>
#include <gtest/gtest.h>

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::CommandTest;

constexpr AK::Milliseconds namedAt = 100'000;

std::string logLine(AK::Milliseconds after, const std::string &process, const std::string &event, const std::string &fields)
{
    return AK::concat(R"({"time_ms":)", namedAt + after, R"(,"process":")", process, R"(","event":")", event, "\",", fields, "}\n");
}

std::string named(AK::Milliseconds after, const std::string &process, int version = 3)
{
    return logLine(after, process, "weights_named", AK::concat(R"("model":"m","version":)", version, R"(,"previous":2)"));
}

std::string fetched(AK::Milliseconds after, const std::string &process, int chunks, int version = 3)
{
    return logLine(after, process, "fetched", AK::concat(R"("model":"m","version":)", version, R"(,"chunks":)", chunks, R"(,"of":96)"));
}

std::string ordered(AK::Milliseconds after, const std::string &process)
{
    return logLine(after, process, "load_ordered", R"("version":3,"previous":2)");
}

std::string loaded(AK::Milliseconds after, const std::string &process, int version = 3)
{
    return logLine(after, process, "loaded", AK::concat(R"("version":)", version, R"(,"wanted":3)"));
}

std::string wholeHost(const std::string &process, AK::Milliseconds delay)
{
    return named(20, process) + fetched(2'600 + delay, process, 96) + ordered(3'000 + delay, process) + loaded(3'300 + delay, process);
}

struct TimelineCase {
    const char *name;
    std::string log;
    /// Text of the output.
    std::string line;
};

class RolloutTimelineTest : public CommandTest, public testing::WithParamInterface<TimelineCase>
{
};

// Guards against a step of another version or of another process, an incomplete fetch that is taken for a whole one, and a second load that hides the first.
TEST_P(RolloutTimelineTest, ShowsWhenEachStepWasReached)
{
    const std::string log = this->write("log", GetParam().log);
    EXPECT_EQ(this->run(AK::concat("rollout explain 3 ", log), {}, false), ExitCode::Done) << this->text();
    EXPECT_NE(this->text().find(GetParam().line), std::string::npos) << this->text();
}

INSTANTIATE_TEST_SUITE_P(
    Table, RolloutTimelineTest,
    testing::Values(TimelineCase{"whole", named(0, "front-1") + wholeHost("side-1", 0), "side-1  20 ms  2600 ms  3000 ms  3300 ms"},
                    TimelineCase{"last_host", named(0, "front-1") + wholeHost("side-2", 1'000) + wholeHost("side-1", 0),
                                 "last engine: side-2 after 4300 ms; until known 20 ms (0 %); until fetched 3580 ms (83 %); until ordered 400 ms (9 %); until "
                                 "loaded 300 ms (6 %)"},
                    TimelineCase{"incomplete_fetch", named(0, "front-1") + named(5, "side-1") + fetched(900, "side-1", 86) + ordered(2'000, "side-1"),
                                 "side-1  5 ms   -        2000 ms  -"},
                    TimelineCase{"other_version",
                                 named(0, "front-1") + named(1, "side-1", 4) + fetched(100, "side-1", 96, 4) + loaded(200, "side-1", 4)
                                     + wholeHost("side-2", 0),
                                 "last engine: side-2 after 3300 ms"},
                    TimelineCase{"loaded_again", named(0, "front-1") + wholeHost("side-1", 0) + loaded(9'000, "side-1"), "last engine: side-1 after 3300 ms"},
                    TimelineCase{"not_loaded", named(0, "front-1") + ordered(2'000, "side-1"), "no engine has loaded it"},
                    TimelineCase{"half_not_loaded", named(0, "front-1") + wholeHost("side-1", 0) + ordered(1, "side-2") + ordered(1, "side-3"),
                                 "half    -      -        1 ms     -"}),
    [](const auto &info) { return std::string(info.param.name); });

class RolloutExplain : public CommandTest
{
};

// Guards against an empty table for logs that say nothing of the version, and against a wrong use of the command.
TEST_F(RolloutExplain, NamesWhatIsMissing)
{
    const std::string log = this->write("log", named(0, "front-1") + wholeHost("side-1", 0));
    EXPECT_EQ(this->run(AK::concat("rollout explain 4 ", log), {}, false), ExitCode::Failed) << this->text();
    EXPECT_NE(this->text().find("no agent has logged a step of the rollout of version 4"), std::string::npos);
    EXPECT_EQ(this->run(AK::concat("rollout explain three ", log), {}, false), ExitCode::InvalidSettings) << this->text();
    EXPECT_EQ(this->run("rollout explain 3", {}, false), ExitCode::Usage);
    EXPECT_EQ(this->run("rollout explain 3 /nowhere/log", {}, false), ExitCode::InvalidSettings);
    EXPECT_EQ(this->run(AK::concat("rollout explain 3 --json ", log), {}, false), ExitCode::Done);
    EXPECT_NE(this->text().find(R"("half_ms":3300)"), std::string::npos) << this->text();
}

} // namespace
