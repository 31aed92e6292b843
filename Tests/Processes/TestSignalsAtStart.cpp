#include <AK/Text.h>
#include <Harness/ChildProcess.h>
#include <Harness/EventLog.h>
#include <Loopback/ProcessHost.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace
{

using Harness::ChildProcess;
using Harness::StartSignals;

constexpr AK::Milliseconds limit = 60'000;

struct DaemonCase {
    const char *name;
    std::vector<std::string> arguments;
    /// Whether a reload is reported, also one that came before the daemon was ready for it.
    bool reloads;
};

const DaemonCase platformEntry{"platform_entry", {"--platform", "entry"}, true};
const DaemonCase platformAgent{"platform_agent", {"--platform", "agent"}, true};
const DaemonCase ownSite{"own_site", {"--config", "FILE"}, false};

nlohmann::json settingsOf(const DaemonCase &daemon)
{
    const std::string &host = Loopback::processHost();
    const auto address = [&](int port) {
        return AK::concat(host, ":", port);
    };
    const std::string nobody = address(9);
    if (!daemon.reloads) {
        return {{"role", "entry"},
                {"name", "entry-1"},
                {"site", "costilla-luz"},
                {"region", "lima"},
                {"failure_domain", "lima-1"},
                {"http_address", address(7'100)},
                {"rpc_address", address(7'200)},
                {"object_api", nobody},
                {"seeds", nlohmann::json::array()},
                {"keys", {{{"id", "k1"}, {"secret", "test-secret-test-secret"}}}},
                {"entry", {{"address_ttl_ms", 0}, {"propagation_ms", 0}}}};
    }
    return {{"nodeName", "entry-1"},
            {"ip", host},
            {"zone", "lima-1"},
            {"region", "lima"},
            {"zones", {{"lima-1", "lima"}}},
            {"listen", {{"front", address(8'005)}, {"ready", address(8'002)}, {"control", address(8'000)}, {"directory", address(8'009)}}},
            {"innerPorts", {7'700, 7'715}},
            {"seeds", {address(8'000)}},
            {"limits", {{"linkMbps", 100.0}}},
            {"bounds", {{"graceS", 2}, {"retryBudgetRatio", 0.25}, {"version_ms", 8'000}}},
            {"platform", {{"addr", nobody}}},
            {"app", address(8'080)},
            {"service", "bench"}};
}

bool eventually(const std::function<bool()> &condition)
{
    const AK::SystemClock clock;
    const AK::Milliseconds end = clock.now() + limit;
    while (!condition()) {
        if (clock.now() > end) {
            return false;
        }
        clock.sleep(1);
    }
    return true;
}

/// The signals of a line of the process's status file that has them as a hexadecimal mask.
bool hasSignal(const ChildProcess &child, const std::string &line, int number)
{
    std::ifstream file(AK::concat("/proc/", child.pid(), "/status"));
    std::string key;
    std::string value;
    while (file >> key) {
        std::getline(file, value);
        if (key == line + ":") {
            return (std::stoull(value, nullptr, 16) >> (number - 1) & 1) != 0;
        }
    }
    return false;
}

class SignalsAtStartTest
{
public:
    SignalsAtStartTest()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "catkinlink-signals-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
    }
    ~SignalsAtStartTest()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    std::unique_ptr<ChildProcess> start(const DaemonCase &daemon, const StartSignals &signals)
    {
        const std::string settings = this->folder + "/settings.json";
        std::ofstream(settings) << settingsOf(daemon).dump();
        this->log = AK::concat(this->folder, "/", ++this->starts, ".log");
        std::vector<std::string> arguments{AK::concat("CATKINLINK_NODE_FILE=", settings), std::string(CATKINLINK_BIN) + "/catkinlinkd"};
        for (const std::string &argument : daemon.arguments) {
            arguments.push_back(argument == "FILE" ? settings : argument);
        }
        return std::make_unique<ChildProcess>("/usr/bin/env", arguments, this->log, signals);
    }
    bool logged(const std::string &event) const
    {
        return !Harness::readEvents(this->log, event).empty();
    }
    /// Checks that the process has begun its work although it got SIGHUP, has not lost the reload unless `lost`, and stops in order.
    void expectRunning(ChildProcess &child, const DaemonCase &daemon, bool lost)
    {
        const std::string event = daemon.reloads && !lost ? "reloaded" : "started";
        EXPECT_TRUE(eventually([&] { return this->logged(event) || !child.running(); }));
        EXPECT_TRUE(this->logged(event)) << "ended with status " << child.wait(0).value_or(-1) << "\n" << this->logText();
        child.signal(SIGTERM);
        EXPECT_EQ(child.wait(limit), std::optional(0)) << this->logText();
    }
    std::string logText() const
    {
        std::ostringstream text;
        text << std::ifstream(this->log).rdbuf();
        return text.str();
    }

private:
    std::string folder;
    std::string log;
    int starts = 0;
};

struct InheritanceCase {
    const char *name;
    StartSignals signals;
    int signal;
};

class InheritedSignalsTest : public testing::TestWithParam<std::tuple<DaemonCase, InheritanceCase>>, public SignalsAtStartTest
{
};

// Guards against a daemon that was started with its signals blocked or ignored being ended by one that comes at any time of its start, or forgetting a stop or
// a reload that waits.
TEST_P(InheritedSignalsTest, AreKeptUntilTheyAreHandled)
{
    const auto &[daemon, inheritance] = GetParam();
    for (const AK::Milliseconds offset : {0, 2, 5, 10, 15, 25, 50, 120}) {
        const auto child = this->start(daemon, inheritance.signals);
        AK::SystemClock().sleep(offset);
        child->signal(inheritance.signal);
        if (inheritance.signal == SIGHUP) {
            this->expectRunning(*child, daemon, !inheritance.signals.ignored.empty());
        } else {
            EXPECT_EQ(child->wait(limit), std::optional(0)) << "signal after " << offset << " ms\n" << this->logText();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, InheritedSignalsTest,
                         testing::Combine(testing::Values(platformEntry, platformAgent, ownSite),
                                          testing::Values(InheritanceCase{"reload_blocked", {{SIGHUP}, {}}, SIGHUP},
                                                          InheritanceCase{"reload_ignored", {{}, {SIGHUP}}, SIGHUP},
                                                          InheritanceCase{"stop_blocked", {{SIGTERM}, {}}, SIGTERM})),
                         [](const auto &info) { return AK::concat(std::get<0>(info.param).name, "_", std::get<1>(info.param).name); });

class HeldStartTest : public testing::TestWithParam<DaemonCase>, public SignalsAtStartTest
{
};

// Guards against a daemon that is held up for long before its first instruction being ended by a reload that comes meanwhile.
TEST_P(HeldStartTest, KeepsAReload)
{
    const auto child = this->start(GetParam(), {{SIGHUP}, {}});
    child->signal(SIGSTOP);
    child->signal(SIGHUP);
    child->signal(SIGCONT);
    this->expectRunning(*child, GetParam(), false);
}

// Guards against a daemon that was started with the usual signals being ended by a reload after its main function has begun.
TEST_P(HeldStartTest, KeepsAReloadFromTheBeginningOfMainOn)
{
    const auto child = this->start(GetParam(), {});
    // Of the signals' set-up at the beginning of main, this is the last part.
    ASSERT_TRUE(eventually([&] { return hasSignal(*child, "SigIgn", SIGPIPE); }));
    child->signal(SIGHUP);
    this->expectRunning(*child, GetParam(), false);
}

INSTANTIATE_TEST_SUITE_P(Table, HeldStartTest, testing::Values(platformEntry, platformAgent, ownSite), [](const auto &info) { return info.param.name; });

} // namespace
