#include "QuarantineKeeper.h"

#include <AK/Hash.h>
#include <LibGateway/StoredCrashes.h>
#include <algorithm>

namespace Gateway
{

namespace
{

constexpr AK::Milliseconds pollInterval = 100;
// A part is stored when it has stayed the likeliest cause for this long, because news of other entries may still show that it is sound.
constexpr AK::Milliseconds settleTime = 1'000;
// The next entry writes if the one before it has not by then; a write and its way back take some ten ms.
constexpr AK::Milliseconds takeoverTime = 300;
constexpr AK::Milliseconds retryInterval = 1'000;
// After this time calls with the part are sent again. If they still crash upstreams, it is found again.
constexpr AK::Milliseconds quarantineTime = 600'000;

} // namespace

QuarantineKeeper::QuarantineKeeper(LibFiber::Loop &loop, Fleet::ObjectSource &store, const LibFleet::FleetState &fleet, const PromptQuarantine &quarantine,
                                   std::function<bool(const std::string &part)> isStored)
    : loop(loop)
    , store(store)
    , fleet(fleet)
    , quarantine(quarantine)
    , isStored(std::move(isStored))
{
}

void QuarantineKeeper::setEntries(const std::string &selfName, std::vector<std::string> names)
{
    this->self = selfName;
    this->entries = std::move(names);
}

void QuarantineKeeper::start()
{
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            this->loop.sleep(scope, pollInterval);
            this->storeParts(scope);
            this->storeLostParts(scope);
            this->removeParts(scope);
            this->storeCrashes(scope);
        }
    });
}

size_t QuarantineKeeper::rankFor(const std::string &part) const
{
    const uint64_t own = AK::rendezvousWeight(part, this->self);
    return static_cast<size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [&](const std::string &name) { return AK::rendezvousWeight(part, name) > own; }));
}

void QuarantineKeeper::storeParts(kj::WaitScope &scope)
{
    for (const auto &[part, since] : this->quarantine.unstoredParts()) {
        const AK::Milliseconds turn = since + settleTime + static_cast<AK::Milliseconds>(this->rankFor(part)) * takeoverTime;
        if (this->loop.clock().now() < turn || this->fleet.quarantinedParts().contains(part)) {
            continue;
        }
        this->storePart(scope, part);
    }
}

void QuarantineKeeper::storeLostParts(kj::WaitScope &scope)
{
    const AK::Milliseconds now = this->loop.clock().now();
    const auto isLost = [this](const std::string &part) {
        return this->fleet.quarantinedParts().contains(part) && !this->isStored(part);
    };
    std::erase_if(this->lostSince, [&](const auto &row) { return !isLost(row.first); });
    // A copy, because storePart() suspends this fiber.
    const std::set<std::string> parts = this->fleet.quarantinedParts();
    for (const std::string &part : parts) {
        if (!isLost(part)) {
            continue;
        }
        const AK::Milliseconds since = this->lostSince.try_emplace(part, now).first->second;
        if (now >= since + static_cast<AK::Milliseconds>(this->rankFor(part)) * takeoverTime) {
            this->storePart(scope, part);
        }
    }
}

void QuarantineKeeper::storePart(kj::WaitScope &scope, const std::string &part)
{
    const absl::Status status = this->store.put(scope, LibFleet::ObjectKind::QuarantinedParts, part, R"({"reason":"crashes upstreams"})");
    this->logger.info("part_stored", {{"part", part}, {"reason", std::string(status.message())}});
    // The object comes back with the objects of the store.
    this->loop.sleep(scope, retryInterval);
}

void QuarantineKeeper::removeParts(kj::WaitScope &scope)
{
    const AK::Milliseconds now = this->loop.clock().now();
    std::vector<std::string> toRemove = this->quarantine.partsToRelease();
    std::erase_if(this->storedSince, [&](const auto &row) { return !this->fleet.quarantinedParts().contains(row.first); });
    for (const auto &[part, since] : this->quarantine.supersededParts()) {
        if (now >= since + static_cast<AK::Milliseconds>(this->rankFor(part)) * takeoverTime) {
            toRemove.push_back(part);
        }
    }
    for (const std::string &part : this->fleet.quarantinedParts()) {
        const AK::Milliseconds since = this->storedSince.try_emplace(part, now).first->second;
        if (now - since >= quarantineTime + static_cast<AK::Milliseconds>(this->rankFor(part)) * takeoverTime) {
            toRemove.push_back(part);
        }
    }
    for (const std::string &part : toRemove) {
        const absl::Status status = this->store.erase(scope, LibFleet::ObjectKind::QuarantinedParts, part);
        this->logger.info("part_removed", {{"part", part}, {"reason", std::string(status.message())}});
        this->loop.sleep(scope, retryInterval);
    }
}

void QuarantineKeeper::storeCrashes(kj::WaitScope &scope)
{
    const uint64_t changes = this->quarantine.evidenceChanges();
    const std::string &text = this->fleet.storedCrashes();
    if (this->comparedChanges == changes && this->comparedText == text) {
        return;
    }
    const LibGateway::ClockReading now{this->loop.clock().now(), this->loop.clock().wallTime()};
    std::vector<LibGateway::Crash> known = this->quarantine.crashesToStore();
    // Crashes that can't be read are replaced.
    std::vector<LibGateway::Crash> stored = LibGateway::decodeCrashes(text, now).value_or(std::vector<LibGateway::Crash>());
    if (!stored.empty() && text.size() > LibGateway::maxCrashReportBytes / 2) {
        // Older crashes would be left out again.
        std::erase_if(known, [&](const LibGateway::Crash &crash) { return crash.crashedAt < stored.front().crashedAt; });
    }
    if (!LibGateway::mergeCrashes(stored, known, this->quarantine.releasedParts())) {
        this->crashesStaleSince.reset();
        if (now.monotonic > this->quarantine.evidenceChangedAt() + PromptQuarantine::crashSettleTime) {
            this->comparedChanges = changes;
            this->comparedText = text;
        }
        return;
    }
    this->crashesStaleSince = this->crashesStaleSince.value_or(now.monotonic);
    if (now.monotonic < *this->crashesStaleSince + static_cast<AK::Milliseconds>(this->rankFor(LibFleet::storedCrashesName)) * takeoverTime) {
        return;
    }
    const absl::Status status =
        this->store.put(scope, LibFleet::ObjectKind::QuarantinedParts, LibFleet::storedCrashesName, LibGateway::encodeCrashes(stored, now));
    this->logger.info("crashes_stored", {{"crashes", stored.size()}, {"reason", std::string(status.message())}});
    this->loop.sleep(scope, retryInterval);
}

} // namespace Gateway
