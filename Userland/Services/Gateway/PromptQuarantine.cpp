#include "PromptQuarantine.h"

#include <AK/Hash.h>
#include <algorithm>

namespace Gateway
{

namespace
{

// News are sent with every exchange for this long; a lost exchange is repeated after 600 ms.
constexpr AK::Milliseconds newsTime = 2'500;

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
                           [&](const std::string &part) { return !this->isSoundSince(part, crash.crashedAt - this->settings.evidenceMaxAge); });
    });
    if (!anyUnknown || !LibGateway::recordCrash(this->evidence, crash, this->clock.now(), this->settings)) {
        return;
    }
    this->findParts();
}

void PromptQuarantine::recordSoundPrompt(const std::vector<std::string> &parts)
{
    for (const std::string &part : parts) {
        LibGateway::recordSoundPart(this->evidence.soundParts, part, this->clock.now());
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
        return found != this->quarantined.end() && !this->isSoundSince(part, found->second.since);
    });
}

bool PromptQuarantine::isSuspected(const LibGateway::CallRequest &request) const
{
    return LibGateway::isSuspected(this->evidence, request.sharedPromptParts, AK::stableHash(request.lastPromptPart));
}

void PromptQuarantine::findParts()
{
    const AK::Milliseconds now = this->clock.now();
    const std::vector<std::string> found = LibGateway::findCrashingParts(this->evidence, this->fleet.quarantinedParts(), now, this->settings);
    // News may show that a part found before is sound and another one is the cause.
    std::erase_if(this->quarantined, [&](const auto &row) {
        const bool cleared = !row.second.isStored && now - row.second.since < this->settings.evidenceMaxAge / 2
            && std::find(found.begin(), found.end(), row.first) == found.end();
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
    if (isNew && this->foundObserver) {
        this->foundObserver();
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
            LibGateway::recordSoundPart(this->evidence.soundParts, it->first, now);
            it = this->quarantined.erase(it);
        } else {
            ++it;
        }
    }
    for (const std::string &part : stored) {
        this->quarantined.try_emplace(part, Entry{now, true}).first->second.isStored = true;
    }
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
        LibGateway::recordSoundPart(this->evidence.soundParts, report.part, now - report.age);
        changesFinding = changesFinding || this->quarantined.contains(report.part);
    }
    bool isNews = false;
    for (const LibPeers::CrashReport &report : state.crashes) {
        LibGateway::Crash crash{report.upstream, now - report.age, {}, now};
        for (const LibPeers::SuspectReport &suspect : report.suspects) {
            crash.suspects.push_back({suspect.prompt, crash.crashedAt - suspect.sentBefore, suspect.parts});
        }
        isNews = LibGateway::recordCrash(this->evidence, crash, now, this->settings) || isNews;
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

} // namespace Gateway
