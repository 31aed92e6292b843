#include <Platform/SettingsText.h>
#include <catkinlinkd/SettingsWatch.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace
{

using namespace Platform;

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

struct ChangeCase {
    const char *name;
    std::string from;
    std::string to;
    std::vector<std::string> applied;
    std::vector<std::string> needRestart;
};

class SettingsChangeTest : public testing::TestWithParam<ChangeCase>
{
};

// Guards against a change that is neither applied nor reported, and against a running process that changes its identity.
TEST_P(SettingsChangeTest, IsAppliedOrReported)
{
    const absl::StatusOr<NodeSettings> before = parseNodeSettings(validSettings);
    const absl::StatusOr<NodeSettings> after = parseNodeSettings(replaced(GetParam().from, GetParam().to));
    ASSERT_TRUE(before.ok() && after.ok()) << before.status() << after.status();
    const SettingsChanges changes = compareSettings(*before, *after);
    EXPECT_EQ(changes.applied, GetParam().applied);
    EXPECT_EQ(changes.needRestart, GetParam().needRestart);
    const SettingsChanges remaining = compareSettings(mergeSettings(*before, *after), *after);
    EXPECT_TRUE(remaining.applied.empty());
    EXPECT_EQ(remaining.needRestart, GetParam().needRestart);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SettingsChangeTest,
    testing::Values(ChangeCase{"nothing", "graceS: 8", "graceS: 8", {}, {}}, ChangeCase{"unknown_field", "graceS: 8", "graceS: 8\n  other: 3", {}, {}},
                    ChangeCase{"bound", "graceS: 8", "graceS: 6", {"bounds"}, {}},
                    ChangeCase{"retries", "graceS: 8", "graceS: 8\n  budgetExtra: 3", {"bounds"}, {}},
                    ChangeCase{"regions", "lima-1: \"lima\"", "lima-1: \"cusco\"", {"regionsByDomain"}, {}},
                    ChangeCase{"seeds", "10.2.0.37:8000", "10.2.0.38:8000", {"seeds"}, {}},
                    ChangeCase{"link", "linkMbps: 100", "linkMbps: 7.3", {"linkMbps"}, {}},
                    ChangeCase{"memory", "linkMbps: 100", "linkMbps: 100\n  memoryMb: 128", {"memoryMb"}, {}},
                    ChangeCase{"name", "front-1", "front-2", {}, {"name"}}, ChangeCase{"ip", "ip: \"10.1.0.40\"", "ip: \"10.1.0.44\"", {}, {"ip"}},
                    ChangeCase{"domain", "zone: \"lima-1\"", "zone: \"lima-2\"", {}, {"failureDomain"}},
                    ChangeCase{"region", "region: \"lima\"", "region: \"cusco\"", {}, {"region"}},
                    ChangeCase{"listen", "10.1.0.40:8005", "10.1.0.40:8006", {}, {"clientAddress"}},
                    ChangeCase{"inner_port", "- 7700", "- 7701", {}, {"innerPort"}}, ChangeCase{"store", "10.200.1.7:8007", "10.200.1.8:8007", {}, {"store"}},
                    ChangeCase{"engine", "10.1.0.41:8080", "10.1.0.42:8080", {}, {"engineAddress"}},
                    ChangeCase{"service", "service: \"bench\"", "service: \"desk\"", {}, {"engineService"}}),
    [](const auto &info) { return std::string(info.param.name); });

struct WatchCase {
    const char *name;
    std::optional<std::string> content;
    bool signal;
    AK::Milliseconds interval;
    std::optional<AK::Milliseconds> expectedGrace;
};

class SettingsWatchTest : public testing::TestWithParam<WatchCase>
{
};

constexpr AK::Milliseconds shortInterval = 20;
constexpr AK::Milliseconds longInterval = 60'000;
constexpr AK::Milliseconds changeTimeout = 5'000;
constexpr AK::Milliseconds unchangedPeriod = 400;

// Guards against settings that change without a signal and are never applied, and against a partly written file that replaces valid settings.
TEST_P(SettingsWatchTest, AppliesValidSettings)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / ("catkinlink-settings-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(path) << validSettings;
    kj::UnixEventPort::captureSignal(SIGHUP);
    LibFiber::Loop loop;
    std::optional<AK::Milliseconds> grace;
    SettingsWatch watch(loop, path, *parseNodeSettings(validSettings), GetParam().interval);
    watch.onChange([&](const NodeSettings &changed) { grace = changed.bounds.shutdownGracePeriod; });
    watch.start();
    loop.sleep(loop.rootScope(), 3 * shortInterval);
    if (GetParam().content) {
        std::ofstream(path) << *GetParam().content;
    } else {
        std::filesystem::remove(path);
    }
    if (GetParam().signal) {
        kill(getpid(), SIGHUP);
    }
    const AK::Milliseconds until = loop.clock().now() + (GetParam().expectedGrace ? changeTimeout : unchangedPeriod);
    while (loop.clock().now() < until && (!GetParam().expectedGrace || grace != GetParam().expectedGrace)) {
        loop.sleep(loop.rootScope(), shortInterval);
    }
    EXPECT_EQ(grace, GetParam().expectedGrace);

    // A missing or invalid file does not prevent the next change.
    std::ofstream(path) << replaced("graceS: 8", "graceS: 5");
    kill(getpid(), SIGHUP);
    const AK::Milliseconds secondUntil = loop.clock().now() + changeTimeout;
    while (loop.clock().now() < secondUntil && grace != 5'000) {
        loop.sleep(loop.rootScope(), shortInterval);
    }
    EXPECT_EQ(grace, 5'000);
    loop.cancelSpawned();
    std::filesystem::remove(path);
}

INSTANTIATE_TEST_SUITE_P(Table, SettingsWatchTest,
                         testing::Values(WatchCase{"without_signal", replaced("graceS: 8", "graceS: 6"), false, shortInterval, 6'000},
                                         WatchCase{"with_signal", replaced("graceS: 8", "graceS: 6"), true, longInterval, 6'000},
                                         WatchCase{"wrong", replaced("graceS: 8", "graceS: soon"), true, shortInterval, std::nullopt},
                                         WatchCase{"half_written", std::string(validSettings).substr(0, 60), false, shortInterval, std::nullopt},
                                         WatchCase{"missing", std::nullopt, true, shortInterval, std::nullopt},
                                         WatchCase{"unchanged", std::string(validSettings), true, shortInterval, std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
