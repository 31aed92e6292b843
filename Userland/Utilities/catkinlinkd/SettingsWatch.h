#pragma once

#include <LibFiber/Loop.h>
#include <functional>
#include <platform/NodeSettings.h>
#include <string>
#include <vector>

/// Names of the settings that differ, as they stand in Platform::NodeSettings.
struct SettingsChanges {
    /// Taken over by a running process.
    std::vector<std::string> applied;
    /// Read at start only: who the process is, where it listens and which store and engine it uses.
    std::vector<std::string> needRestart;
};

SettingsChanges compareSettings(const Platform::NodeSettings &before, const Platform::NodeSettings &after);

/// `current` with all settings of `read` that a running process takes over.
Platform::NodeSettings mergeSettings(const Platform::NodeSettings &current, const Platform::NodeSettings &read);

/// Reads the settings file again on SIGHUP and whenever its content changes, and tells the process what it may take over. A file that is missing or wrong
/// changes nothing. SIGHUP must have been captured with kj::UnixEventPort::captureSignal().
class SettingsWatch
{
public:
    /// Time between two looks at a file that no signal has announced, in ms.
    static constexpr AK::Milliseconds defaultInterval = 1'000;

    SettingsWatch(LibFiber::Loop &loop, std::string path, Platform::NodeSettings current, AK::Milliseconds interval = defaultInterval);

    /// Called with the settings to use from now on.
    void onChange(std::function<void(const Platform::NodeSettings &)> observer);

    void start();

private:
    void watch(kj::WaitScope &scope);
    void look(bool signalled);

    LibFiber::Loop &loop;
    std::string path;
    Platform::NodeSettings current;
    AK::Milliseconds interval;
    /// Content of the file at the last look.
    std::string content;
    bool readable = true;
    std::function<void(const Platform::NodeSettings &)> observer;
    LibLog::Logger logger{"daemon"};
};
