#pragma once

#include "History.h"
#include <AK/Endpoint.h>
#include <Harness/ChildProcess.h>
#include <LibFiber/Loop.h>
#include <Loopback/LoopbackNetwork.h>
#include <memory>

namespace Soak
{

/// The entry processes, each on an address of its own, and what is done to them.
class EntryFleet
{
public:
    struct Settings {
        std::string daemon;
        /// Settings and logs of the processes.
        std::string folder;
        size_t count = 0;
        /// Address of the store for each entry.
        std::vector<AK::Endpoint> stores;
    };

    EntryFleet(LibFiber::Loop &loop, History &history, const Loopback::LoopbackNetwork &network, Settings settings);

    void startAll();
    /// Waits until all entries are ready. Returns false when one is not within `limit` ms.
    bool awaitReady(kj::WaitScope &scope, AK::Milliseconds limit);
    size_t size() const;
    AK::Endpoint clientAddress(size_t index) const;
    int boot(size_t index) const;

    /// SIGKILL, and a new start after `down` ms.
    void kill(kj::WaitScope &scope, size_t index, AK::Milliseconds down);
    /// SIGTERM, SIGKILL after the grace period, and a new start.
    void terminate(kj::WaitScope &scope, size_t index);
    /// SIGSTOP, and SIGCONT after `duration` ms.
    void stop(kj::WaitScope &scope, size_t index, AK::Milliseconds duration);
    /// Writes the settings with other values and sends SIGHUP, also while the process starts.
    void reconfigure(size_t index, int variant);

    /// Restarts processes that ended by themselves, and records that.
    void watch(kj::WaitScope &scope);

private:
    struct Entry {
        std::unique_ptr<Harness::ChildProcess> process;
        int boot = 0;
        /// A fault has ended the process or will, and starts it again.
        bool endExpected = false;
        bool stopped = false;
    };

    void start(size_t index);
    void writeSettings(size_t index, int variant) const;
    std::string host(size_t index) const;
    std::string file(size_t index, const std::string &extension) const;

    LibFiber::Loop &loop;
    History &history;
    const Loopback::LoopbackNetwork &network;
    Settings settings;
    std::vector<Entry> entries;
};

} // namespace Soak
