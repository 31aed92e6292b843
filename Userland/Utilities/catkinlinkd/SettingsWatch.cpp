#include "SettingsWatch.h"

#include <absl/strings/str_join.h>
#include <csignal>

namespace
{

// The signal may arrive before the file has been replaced, so the file is checked again after this time.
constexpr AK::Milliseconds secondCheckDelay = 200;

} // namespace

SettingsChanges compareSettings(const Platform::NodeSettings &before, const Platform::NodeSettings &after)
{
    SettingsChanges changes;
    const auto addIfDifferent = [](std::vector<std::string> &names, bool differs, const char *name) {
        if (differs) {
            names.emplace_back(name);
        }
    };
    addIfDifferent(changes.applied, !(before.bounds == after.bounds), "bounds");
    addIfDifferent(changes.applied, before.regionsByDomain != after.regionsByDomain, "regionsByDomain");
    addIfDifferent(changes.applied, before.seeds != after.seeds, "seeds");
    addIfDifferent(changes.applied, before.linkMbps != after.linkMbps, "linkMbps");
    addIfDifferent(changes.applied, before.memoryMb != after.memoryMb, "memoryMb");
    addIfDifferent(changes.needRestart, before.name != after.name, "name");
    addIfDifferent(changes.needRestart, before.ip != after.ip, "ip");
    addIfDifferent(changes.needRestart, before.failureDomain != after.failureDomain, "failureDomain");
    addIfDifferent(changes.needRestart, before.region != after.region, "region");
    addIfDifferent(changes.needRestart, before.clientAddress != after.clientAddress, "clientAddress");
    addIfDifferent(changes.needRestart, before.readinessAddress != after.readinessAddress, "readinessAddress");
    addIfDifferent(changes.needRestart, before.rpcAddress != after.rpcAddress, "rpcAddress");
    addIfDifferent(changes.needRestart, before.directoryAddress != after.directoryAddress, "directoryAddress");
    addIfDifferent(changes.needRestart, before.innerPort != after.innerPort, "innerPort");
    addIfDifferent(changes.needRestart, !(before.store == after.store), "store");
    addIfDifferent(changes.needRestart, before.engineAddress != after.engineAddress, "engineAddress");
    addIfDifferent(changes.needRestart, before.engineService != after.engineService, "engineService");
    return changes;
}

Platform::NodeSettings mergeSettings(const Platform::NodeSettings &current, const Platform::NodeSettings &read)
{
    Platform::NodeSettings merged = current;
    merged.bounds = read.bounds;
    merged.regionsByDomain = read.regionsByDomain;
    merged.seeds = read.seeds;
    merged.linkMbps = read.linkMbps;
    merged.memoryMb = read.memoryMb;
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
        this->checkFile(signalled);
        if (signalled) {
            this->loop.sleep(scope, secondCheckDelay);
            this->checkFile(false);
        }
    }
}

void SettingsWatch::checkFile(bool signalled)
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
