#include "CommandTest.h"

#include <AK/Text.h>

namespace
{

using Catkinlink::ExitCode;
using CatkinlinkTest::CommandTest;

const std::string newRoot(64, 'b');

/// A member as an agent publishes it, with a target root only until the host serves the target.
nlohmann::json host(int number, const char *state, const std::string &root, uint64_t errors = 0, const char *status = "alive")
{
    const bool serving = std::string(state) == "serving";
    return {{"name", AK::concat("bench-", number)},
            {"failure_domain", "north"},
            {"status", status},
            {"service", "bench-assistant"},
            {"serving_state", state},
            {"weights_root", root},
            {"target_root", serving ? "" : newRoot},
            {"chunks_held", serving ? 4U : 1U},
            {"chunks_total", 4U},
            {"calls_since_switch", 10U},
            {"errors_since_switch", errors}};
}

class RolloutTest : public CommandTest
{
protected:
    RolloutTest()
        : oldRoot(this->example["services"]["bench-assistant"]["target"]["root"])
    {
    }

    /// Resets the double to a rollout with version 2 as the target and `upstreams` upstreams.
    void beginRollout(int upstreams, bool paused = false)
    {
        nlohmann::json document = this->example;
        nlohmann::json &service = document["services"]["bench-assistant"];
        service["previous"] = service["target"];
        service["target"]["version"] = "2";
        service["target"]["root"] = newRoot;
        service["rollout"] = {{"wave_share", 0.34}, {"paused", paused}};
        for (auto item = document["upstreams"].begin(); item != document["upstreams"].end();) {
            item = item.value()["service"] == "bench-assistant" ? document["upstreams"].erase(item) : std::next(item);
        }
        for (int i = 1; i <= upstreams; ++i) {
            document["upstreams"][AK::concat("bench-", i)] = {{"service", "bench-assistant"}, {"failure_domain", "north"}};
        }
        this->first.reset(document);
    }

    std::string oldRoot;
};

// Guards against progress that counts a host with other weights or never counts one that serves the target, and against progress bars when the output is not a
// terminal.
TEST_F(RolloutTest, StatusCountsHostsThatServeTheTarget)
{
    this->beginRollout(3);
    this->first.setMembers({host(1, "serving", newRoot), host(2, "ready", this->oldRoot)});
    EXPECT_EQ(this->run("rollout status bench-assistant"), ExitCode::Done) << this->text();
    const std::string expected = AK::concat("HOST     FAILURE DOMAIN  STATE    VERSION  WEIGHTS       CHUNKS  CALLS  ERRORS\n"
                                            "bench-1  north           serving  2        bbbbbbbbbbbb  4/4     10     0\n"
                                            "bench-2  north           ready    1        ",
                                            this->oldRoot.substr(0, 12),
                                            "  1/4     10     0\n"
                                            "bench-3 has no live process; the rollout does not wait for it\n"
                                            "1 of 2 live hosts of bench-assistant serve the target, version 2\n");
    EXPECT_EQ(this->text(), expected);
    this->terminal = true;
    EXPECT_EQ(this->run("rollout status bench-assistant"), ExitCode::Done);
    EXPECT_NE(this->text().find("1/4 [#####...............] 25%"), std::string::npos) << this->text();
    EXPECT_EQ(this->run("rollout status order-desk"), ExitCode::InvalidSettings);
}

// Guards against a host that is leaving or dead being listed as live.
TEST_F(RolloutTest, StatusListsLiveHostsOnly)
{
    for (const auto &[status, live] : std::map<std::string, bool>{{"alive", true}, {"suspect", true}, {"leaving", false}, {"dead", false}}) {
        this->beginRollout(2);
        this->first.setMembers({host(1, "serving", newRoot), host(2, "serving", newRoot, 0, status.c_str())});
        EXPECT_EQ(this->run("rollout status bench-assistant"), ExitCode::Done) << this->text();
        EXPECT_NE(this->text().find(live ? "2 of 2 live hosts" : "bench-2 has no live process"), std::string::npos) << status << this->text();
    }
}

struct WatchCase {
    const char *name;
    bool paused;
    const char *flags;
    std::deque<nlohmann::json> readings;
    ExitCode code;
    const char *printed;
};

// Guards against a watch that never ends, that ends between two waves, or whose exit code hides that the hosts do not serve the target.
TEST_F(RolloutTest, WatchEndsWhenDoneStoppedOrTimedOut)
{
    const nlohmann::json bothServe{host(1, "serving", newRoot), host(2, "serving", newRoot)};
    const nlohmann::json waits{host(1, "ready", this->oldRoot), host(2, "ready", this->oldRoot)};
    const nlohmann::json failing{host(1, "serving", newRoot, 9), host(2, "ready", this->oldRoot)};
    const nlohmann::json failingOther{host(1, "ready", this->oldRoot), host(2, "serving", newRoot, 9)};
    const nlohmann::json fetching{host(1, "serving", newRoot), host(2, "fetching", this->oldRoot)};
    const nlohmann::json leaving{host(1, "serving", newRoot), host(2, "ready", this->oldRoot, 0, "leaving")};
    const std::vector<WatchCase> cases{
        {"done", false, "--watch", {fetching, fetching, bothServe}, ExitCode::Done, "2 of 2 live hosts"},
        {"leaving host is not awaited", false, "--watch", {leaving}, ExitCode::Done, "1 of 1 live hosts"},
        {"paused", true, "--watch", {waits}, ExitCode::Failed, "has stopped: it is paused\nnext: catkinlink rollout resume bench-assistant"},
        {"paused for one reading", true, "--watch", {waits, waits, bothServe}, ExitCode::Done, "no further host switches: it is paused"},
        {"time is over", false, "--watch --wait 3", {fetching}, ExitCode::Failed, "1 of 2 live hosts of bench-assistant serve the target after 3 s"},
        {"waves go on", false, "--watch --wait 5", {waits}, ExitCode::Failed, "after 5 s"},
    };
    for (const WatchCase &row : cases) {
        this->beginRollout(2, row.paused);
        this->first.planMembers(row.readings);
        EXPECT_EQ(this->run(AK::concat("rollout status bench-assistant ", row.flags)), row.code) << row.name << this->text();
        EXPECT_NE(this->text().find(row.printed), std::string::npos) << row.name << this->text();
    }
    // Only one of the two is in the first wave.
    int stopped = 0;
    for (const nlohmann::json &members : {failing, failingOther}) {
        this->beginRollout(2);
        this->first.setMembers(members);
        EXPECT_EQ(this->run("rollout status bench-assistant --watch --wait 9"), ExitCode::Failed) << this->text();
        const std::string reason = "has stopped: 9 of 10 calls failed on the hosts that switched; max_error_share is 0.05\nnext: catkinlink rollout rollback";
        stopped += this->text().find(reason) != std::string::npos ? 1 : 0;
    }
    EXPECT_EQ(stopped, 1);
}

// Guards against a second rollout that drops the version which hosts of the first one still serve.
TEST_F(RolloutTest, StartIsRefusedWhileAnotherRolloutIsUnfinished)
{
    const std::string line = "rollout start bench-assistant --weights-version 3 --reason r --root " + std::string(64, 'c');
    this->beginRollout(2);
    this->first.setMembers({host(1, "serving", newRoot), host(2, "ready", this->oldRoot)});
    EXPECT_EQ(this->run(line), ExitCode::Refused);
    EXPECT_NE(this->text().find("to version 2 is not finished on bench-2\n"), std::string::npos) << this->text();
    EXPECT_EQ(this->first.applies(), 0);
    EXPECT_EQ(this->run(line + " --force"), ExitCode::Done) << this->text();
    EXPECT_EQ(this->first.document()["services"]["bench-assistant"]["target"]["version"], "3");
    this->beginRollout(2);
    this->first.setMembers({host(1, "serving", newRoot), host(2, "ready", this->oldRoot, 0, "dead")});
    EXPECT_EQ(this->run(line), ExitCode::Done) << this->text();
}

} // namespace
