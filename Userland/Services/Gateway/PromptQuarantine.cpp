#include "PromptQuarantine.h"

#include <AK/Hash.h>
#include <LibGateway/CrashingParts.h>
#include <LibGateway/StoredCrashes.h>
#include <algorithm>

namespace Gateway
{

namespace
{

// News are sent with every exchange for this long; a lost exchange is repeated after 600 ms.
constexpr AK::Milliseconds newsTime = 2'500;
// A part that is found may be cleared by news of others for this long, and by answers to calls in flight later.
constexpr AK::Milliseconds reviewTime = 15'000;
// A part that is answered all the time is cleared at once; its crashes are not worth telling.
constexpr AK::Milliseconds recentAnswerTime = 1'000;
constexpr size_t maxStoredCrashes = 32;
// Parts cleared lately that others are told of; the next answer clears a part again.
constexpr size_t maxClearedParts = 1'024;
// Entries write the stored crashes again without a part for this long after its release.
constexpr AK::Milliseconds releaseNewsTime = 30'000;

} // namespace

PromptQuarantine::PromptQuarantine(const AK::Clock &clock, LibFleet::FleetState &fleet, LibGateway::QuarantineSettings settings)
    : clock(clock)
    , fleet(fleet)
    , settings(settings)
{
    fleet.observe([this] { this->followStore(); });
}

void PromptQuarantine::onPartFound(std::function<void()> observer)
{
    this->foundObserver = std::move(observer);
}

void PromptQuarantine::recordCrash(const LibGateway::Crash &crash)
{
    // Parts that are known to be sound tell the others nothing.
    const bool anyUnknown = std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const LibGateway::CrashSuspect &suspect) {
        return std::any_of(suspect.parts.begin(), suspect.parts.end(),
                           [&](const std::string &part) { return !this->isSoundSince(part, crash.crashedAt - recentAnswerTime); });
    });
    if (anyUnknown && this->record(crash)) {
        this->findParts();
    }
}

bool PromptQuarantine::record(const LibGateway::Crash &crash)
{
    const AK::Milliseconds now = this->clock.now();
    std::erase_if(this->clearedParts, [&](const auto &row) { return now - row.second > newsTime; });
    // Others may not know of the answers that clear parts of the crash.
    for (const LibGateway::CrashSuspect &suspect : crash.suspects) {
        for (const std::string &part : suspect.parts) {
            if (this->clearedParts.size() < maxClearedParts && this->isSoundSince(part, crash.crashedAt)) {
                this->clearedParts[part] = now;
            }
        }
    }
    if (!LibGateway::recordCrash(this->evidence, crash, now, this->settings)) {
        return false;
    }
    this->noteChange();
    return true;
}

void PromptQuarantine::noteChange()
{
    ++this->changes;
    this->changedAt = this->clock.now();
}

void PromptQuarantine::recordSoundPart(const std::string &part, AK::Milliseconds at)
{
    if (LibGateway::recordSoundPart(this->evidence, part, at)) {
        this->clearedParts[part] = this->clock.now();
        this->noteChange();
    }
}

void PromptQuarantine::recordSoundPrompt(const std::vector<std::string> &parts)
{
    for (const std::string &part : parts) {
        this->recordSoundPart(part, this->clock.now());
        if (const auto found = this->quarantined.find(part); found != this->quarantined.end() && !found->second.isStored) {
            this->quarantined.erase(found);
        }
    }
}

bool PromptQuarantine::isSoundSince(const std::string &part, AK::Milliseconds since) const
{
    const std::optional<AK::Milliseconds> sound = LibGateway::lastSound(this->evidence.soundParts, part);
    return sound && *sound >= since;
}

bool PromptQuarantine::isQuarantined(const std::vector<std::string> &parts) const
{
    return !this->quarantined.empty() && std::any_of(parts.begin(), parts.end(), [&](const std::string &part) {
        const auto found = this->quarantined.find(part);
        return found != this->quarantined.end() && found->second.supersededAt == 0 && !this->isSoundSince(part, found->second.since);
    });
}

bool PromptQuarantine::isSuspected(const LibGateway::CallRequest &request) const
{
    return LibGateway::isSuspected(this->evidence, request.sharedPromptParts, AK::stableHash(request.lastPromptPart), this->settings);
}

void PromptQuarantine::findParts()
{
    const AK::Milliseconds now = this->clock.now();
    const std::vector<std::string> found = LibGateway::findCrashingParts(this->evidence, this->fleet.quarantinedParts(), now, this->settings);
    // News may show that a part found before is sound and another one is the cause.
    std::erase_if(this->quarantined, [&](const auto &row) {
        const bool cleared = !row.second.isStored && now - row.second.since < reviewTime && std::find(found.begin(), found.end(), row.first) == found.end();
        if (cleared) {
            this->logger.info("part_cleared", {{"part", row.first}});
        }
        return cleared;
    });
    bool isNew = false;
    for (const std::string &part : found) {
        if (this->quarantined.try_emplace(part, Entry{now, false}).second) {
            isNew = true;
            this->logger.warning("part_quarantined", {{"part", part}, {"crashes_known", this->evidence.crashes.size()}});
        }
    }
    if (isNew) {
        this->supersedeParts();
    }
    if (isNew && this->foundObserver) {
        this->foundObserver();
    }
}

void PromptQuarantine::supersedeParts()
{
    std::set<std::string> known;
    for (const auto &[part, entry] : this->quarantined) {
        known.insert(part);
    }
    for (const std::string &part : LibGateway::findSupersededParts(this->evidence, known, this->settings)) {
        const auto found = this->quarantined.find(part);
        this->logger.info("part_superseded", {{"part", part}, {"stored", found->second.isStored}});
        if (found->second.isStored) {
            found->second.supersededAt = this->clock.now();
        } else {
            this->quarantined.erase(found);
        }
    }
}

void PromptQuarantine::readStoredCrashes()
{
    const std::string &text = this->fleet.storedCrashes();
    if (this->storedCrashesRead || text.empty()) {
        return;
    }
    this->storedCrashesRead = true;
    const absl::StatusOr<std::vector<LibGateway::Crash>> crashes = LibGateway::decodeCrashes(text, {this->clock.now(), this->clock.wallTime()});
    if (!crashes.ok()) {
        this->logger.warning("stored_crashes_unreadable", {{"reason", std::string(crashes.status().message())}});
        return;
    }
    bool isNews = false;
    for (const LibGateway::Crash &crash : *crashes) {
        isNews = this->record(crash) || isNews;
    }
    this->logger.info("stored_crashes_read", {{"crashes", crashes->size()}});
    if (isNews) {
        this->findParts();
    }
}

void PromptQuarantine::followStore()
{
    const std::set<std::string> &stored = this->fleet.quarantinedParts();
    const AK::Milliseconds now = this->clock.now();
    for (auto it = this->quarantined.begin(); it != this->quarantined.end();) {
        if (it->second.isStored && !stored.contains(it->first)) {
            this->logger.info("part_released", {{"part", it->first}});
            // The crashes so far no longer speak against it.
            LibGateway::recordSoundPart(this->evidence, it->first, now);
            this->noteChange();
            this->released[it->first] = now;
            it = this->quarantined.erase(it);
        } else {
            ++it;
        }
    }
    for (const std::string &part : stored) {
        this->quarantined.try_emplace(part, Entry{now, true}).first->second.isStored = true;
    }
    std::erase_if(this->released, [&](const auto &row) { return now - row.second > releaseNewsTime; });
    this->readStoredCrashes();
}

void PromptQuarantine::addTo(LibPeers::NodeState &state) const
{
    const AK::Milliseconds now = this->clock.now();
    std::set<std::string> parts;
    for (const LibGateway::Crash &crash : this->evidence.crashes) {
        if (now - crash.learnedAt > newsTime) {
            continue;
        }
        LibPeers::CrashReport &report = state.crashes.emplace_back();
        report.upstream = crash.upstream;
        report.age = now - crash.crashedAt;
        for (const LibGateway::CrashSuspect &suspect : crash.suspects) {
            report.suspects.push_back({suspect.prompt, crash.crashedAt - suspect.sentAt, suspect.parts});
            parts.insert(suspect.parts.begin(), suspect.parts.end());
        }
    }
    for (const auto &[part, clearedAt] : this->clearedParts) {
        if (now - clearedAt <= newsTime) {
            parts.insert(part);
        }
    }
    for (const std::string &part : parts) {
        if (const std::optional<AK::Milliseconds> sound = LibGateway::lastSound(this->evidence.soundParts, part)) {
            state.soundParts.push_back({part, now - *sound});
        }
    }
}

void PromptQuarantine::record(const LibPeers::NodeState &state)
{
    const AK::Milliseconds now = this->clock.now();
    bool changesFinding = false;
    for (const LibPeers::SoundPartReport &report : state.soundParts) {
        this->recordSoundPart(report.part, now - report.age);
        changesFinding = changesFinding || this->quarantined.contains(report.part);
    }
    bool isNews = false;
    for (const LibPeers::CrashReport &report : state.crashes) {
        LibGateway::Crash crash{report.upstream, now - report.age, {}, now};
        for (const LibPeers::SuspectReport &suspect : report.suspects) {
            crash.suspects.push_back({suspect.prompt, crash.crashedAt - suspect.sentBefore, suspect.parts});
        }
        isNews = this->record(crash) || isNews;
    }
    if (isNews || changesFinding) {
        this->findParts();
    }
}

std::map<std::string, AK::Milliseconds> PromptQuarantine::unstoredParts() const
{
    std::map<std::string, AK::Milliseconds> parts;
    for (const auto &[part, entry] : this->quarantined) {
        if (!entry.isStored && !this->isSoundSince(part, entry.since)) {
            parts[part] = entry.since;
        }
    }
    return parts;
}

std::vector<std::string> PromptQuarantine::partsToRelease() const
{
    std::vector<std::string> parts;
    for (const auto &[part, entry] : this->quarantined) {
        if (entry.isStored && this->isSoundSince(part, entry.since)) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::map<std::string, AK::Milliseconds> PromptQuarantine::supersededParts() const
{
    std::map<std::string, AK::Milliseconds> parts;
    for (const auto &[part, entry] : this->quarantined) {
        if (entry.isStored && entry.supersededAt > 0) {
            parts[part] = entry.supersededAt;
        }
    }
    return parts;
}

std::set<std::string> PromptQuarantine::releasedParts() const
{
    const AK::Milliseconds now = this->clock.now();
    std::set<std::string> parts;
    for (const auto &[part, releasedAt] : this->released) {
        if (now - releasedAt <= releaseNewsTime) {
            parts.insert(part);
        }
    }
    return parts;
}

std::vector<LibGateway::Crash> PromptQuarantine::crashesToStore() const
{
    return LibGateway::recurringCrashes(this->evidence, this->clock.now(), crashSettleTime, maxStoredCrashes);
}

uint64_t PromptQuarantine::evidenceChanges() const
{
    return this->changes;
}

AK::Milliseconds PromptQuarantine::evidenceChangedAt() const
{
    return this->changedAt;
}

} // namespace Gateway
