#include "SettingsWatch.h"

#include <absl/strings/str_join.h>
#include <csignal>

namespace
{

// The signal may come before the file has been replaced.
constexpr AK::Milliseconds secondLook = 200;

} // namespace

SettingsChanges compareSettings(const Platform::NodeSettings &before, const Platform::NodeSettings &after)
{
    SettingsChanges changes;
    const auto note = [](std::vector<std::string> &names, bool differs, const char *name) {
        if (differs) {
            names.emplace_back(name);
        }
    };
    note(changes.applied, !(before.bounds == after.bounds), "bounds");
    note(changes.applied, before.regionsByDomain != after.regionsByDomain, "regionsByDomain");
    note(changes.applied, before.seeds != after.seeds, "seeds");
    note(changes.applied, before.linkMbps != after.linkMbps, "linkMbps");
    note(changes.needRestart, before.name != after.name, "name");
    note(changes.needRestart, before.ip != after.ip, "ip");
    note(changes.needRestart, before.failureDomain != after.failureDomain, "failureDomain");
    note(changes.needRestart, before.region != after.region, "region");
    note(changes.needRestart, before.clientAddress != after.clientAddress, "clientAddress");
    note(changes.needRestart, before.readinessAddress != after.readinessAddress, "readinessAddress");
    note(changes.needRestart, before.rpcAddress != after.rpcAddress, "rpcAddress");
    note(changes.needRestart, before.directoryAddress != after.directoryAddress, "directoryAddress");
    note(changes.needRestart, before.innerPort != after.innerPort, "innerPort");
    note(changes.needRestart, !(before.store == after.store), "store");
    note(changes.needRestart, before.engineAddress != after.engineAddress, "engineAddress");
    note(changes.needRestart, before.engineService != after.engineService, "engineService");
    return changes;
}

Platform::NodeSettings mergeSettings(const Platform::NodeSettings &current, const Platform::NodeSettings &read)
{
    Platform::NodeSettings merged = current;
    merged.bounds = read.bounds;
    merged.regionsByDomain = read.regionsByDomain;
    merged.seeds = read.seeds;
    merged.linkMbps = read.linkMbps;
    return merged;
}

SettingsWatch::SettingsWatch(LibFiber::Loop &loop, std::string path, Platform::NodeSettings current, AK::Milliseconds interval)
    : loop(loop)
    , path(std::move(path))
    , current(std::move(current))
    , interval(interval)
{
}

void SettingsWatch::onChange(std::function<void(const Platform::NodeSettings &)> changeObserver)
{
    this->observer = std::move(changeObserver);
}

void SettingsWatch::start()
{
    this->loop.spawn([this](kj::WaitScope &scope) { this->watch(scope); });
}

void SettingsWatch::watch(kj::WaitScope &scope)
{
    while (true) {
        bool signalled = false;
        this->loop.events()
            .onSignal(SIGHUP)
            .then([&signalled](const siginfo_t &) { signalled = true; })
            .exclusiveJoin(this->loop.after(this->interval))
            .wait(scope);
        this->look(signalled);
        if (signalled) {
            this->loop.sleep(scope, secondLook);
            this->look(false);
        }
    }
}

void SettingsWatch::look(bool signalled)
{
    const absl::StatusOr<std::string> text = Platform::readSettingsText(this->path);
    const bool changed = text.ok() ? *text != this->content : this->readable;
    this->readable = text.ok();
    if (!changed && !signalled) {
        return;
    }
    const absl::StatusOr<Platform::NodeSettings> read = text.ok() ? Platform::parseNodeSettings(*text) : text.status();
    if (text.ok()) {
        this->content = *text;
    }
    if (!read.ok()) {
        this->logger.warning("settings_refused", {{"reason", std::string(read.status().message())}, {"signal", signalled}});
        return;
    }
    const SettingsChanges changes = compareSettings(this->current, *read);
    if (signalled || !changes.applied.empty() || !changes.needRestart.empty()) {
        this->logger.info("reloaded",
                          {{"signal", signalled}, {"applied", absl::StrJoin(changes.applied, ",")}, {"need_restart", absl::StrJoin(changes.needRestart, ",")}});
    }
    if (changes.applied.empty()) {
        return;
    }
    this->current = mergeSettings(this->current, *read);
    if (this->observer) {
        this->observer(this->current);
    }
}
