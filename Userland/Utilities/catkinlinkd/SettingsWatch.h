#pragma once

#include <LibFiber/Loop.h>
#include <functional>
#include <platform/NodeSettings.h>
#include <string>
#include <vector>

/// Names of the members of Platform::NodeSettings that differ.
struct SettingsChanges {
    /// Applied while the process runs.
    std::vector<std::string> applied;
    /// Read at start only: identity of the process, listen addresses, store and engine.
    std::vector<std::string> needRestart;
};

SettingsChanges compareSettings(const Platform::NodeSettings &before, const Platform::NodeSettings &after);

/// Returns `current` with those settings of `read` that can be applied while the process runs.
Platform::NodeSettings mergeSettings(const Platform::NodeSettings &current, const Platform::NodeSettings &read);

/// Reads the settings file again on SIGHUP and whenever its content changes, and reports the settings that can be applied while the process runs. A missing or
/// invalid file changes nothing. SIGHUP must have been captured with kj::UnixEventPort::captureSignal().
class SettingsWatch
{
public:
    /// Time between two checks of the file without a signal, in ms.
    static constexpr AK::Milliseconds defaultInterval = 1'000;

    SettingsWatch(LibFiber::Loop &loop, std::string path, Platform::NodeSettings current, AK::Milliseconds interval = defaultInterval);

    /// Called with the settings to use from now on.
    void onChange(std::function<void(const Platform::NodeSettings &)> observer);

    void start();

private:
    void watch(kj::WaitScope &scope);
    void checkFile(bool signalled);

    LibFiber::Loop &loop;
    std::string path;
    Platform::NodeSettings current;
    AK::Milliseconds interval;
    /// Content of the file at the last check.
    std::string content;
    bool readable = true;
    std::function<void(const Platform::NodeSettings &)> observer;
    LibLog::Logger logger{"daemon"};
};
