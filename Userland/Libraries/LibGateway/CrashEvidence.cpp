#include <LibGateway/CrashEvidence.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Records of an instance at most this far apart describe one crash; an instance may start again under its id.
constexpr AK::Milliseconds sameCrashTime = 2'000;
constexpr size_t maxCrashes = 128;
constexpr size_t maxSuspectsPerCrash = 64;
// Parts of one call that are kept, and of all calls together. A prompt may have thousands, but one of few kilobytes has tens.
constexpr size_t maxPartsPerSuspect = 512;
constexpr size_t maxParts = 8'192;
// Parts remembered are between this number and its double.
constexpr size_t minSoundParts = 8'192;

size_t partsOf(const Crash &crash)
{
    size_t count = 0;
    for (const CrashSuspect &suspect : crash.suspects) {
        count += suspect.parts.size();
    }
    return count;
}

// Adds a suspect of a crash to the index of parts.
void addToIndex(CrashEvidence &evidence, const Crash &crash, const CrashSuspect &suspect)
{
    for (const std::string &part : suspect.parts) {
        std::vector<CrashEvidence::PartCrash> &rows = evidence.byPart[part];
        auto row = std::find_if(rows.begin(), rows.end(), [&](const CrashEvidence::PartCrash &known) { return known.number == crash.number; });
        if (row == rows.end()) {
            rows.push_back({crash.number, crash.crashedAt, suspect.sentAt, {}});
            row = std::prev(rows.end());
        }
        row->sentAt = std::min(row->sentAt, suspect.sentAt);
        row->prompts.insert(suspect.prompt);
    }
}

// Whether a crash has a suspect with the same prompt and at least the same parts. Entries may know answers to different parts.
bool isKnown(const CrashEvidence &evidence, uint64_t crash, const CrashSuspect &suspect)
{
    return std::all_of(suspect.parts.begin(), suspect.parts.end(), [&](const std::string &part) {
        const auto rows = evidence.byPart.find(part);
        return rows != evidence.byPart.end() && std::any_of(rows->second.begin(), rows->second.end(), [&](const CrashEvidence::PartCrash &row) {
                   return row.number == crash && row.prompts.contains(suspect.prompt);
               });
    });
}

void removeFromIndex(CrashEvidence &evidence, const Crash &crash)
{
    for (const CrashSuspect &suspect : crash.suspects) {
        for (const std::string &part : suspect.parts) {
            const auto found = evidence.byPart.find(part);
            if (found == evidence.byPart.end()) {
                continue;
            }
            std::erase_if(found->second, [&](const CrashEvidence::PartCrash &row) { return row.number == crash.number; });
            if (found->second.empty()) {
                evidence.byPart.erase(found);
            }
        }
    }
}

void removeOldCrashes(CrashEvidence &evidence, AK::Milliseconds now, const QuarantineSettings &settings)
{
    std::erase_if(evidence.crashes, [&](const Crash &crash) {
        const bool isOld = now - crash.crashedAt > settings.evidenceMaxAge;
        if (isOld) {
            removeFromIndex(evidence, crash);
        }
        return isOld;
    });
}

// Removes what speaks against a part up to a time, and crashes of which nothing is left. Returns whether there was anything.
bool clearPart(CrashEvidence &evidence, const std::string &part, AK::Milliseconds until)
{
    const auto found = evidence.byPart.find(part);
    if (found == evidence.byPart.end()) {
        return false;
    }
    std::set<uint64_t> cleared;
    std::erase_if(found->second, [&](const CrashEvidence::PartCrash &row) {
        const bool isCleared = row.crashedAt <= until;
        if (isCleared) {
            cleared.insert(row.number);
        }
        return isCleared;
    });
    if (found->second.empty()) {
        evidence.byPart.erase(found);
    }
    std::erase_if(evidence.crashes, [&](Crash &crash) {
        if (!cleared.contains(crash.number)) {
            return false;
        }
        for (CrashSuspect &suspect : crash.suspects) {
            std::erase(suspect.parts, part);
        }
        std::erase_if(crash.suspects, [](const CrashSuspect &suspect) { return suspect.parts.empty(); });
        return crash.suspects.empty();
    });
    return !cleared.empty();
}

// Removes crashes above the limits: first those none of whose parts stands in another one, the oldest first. A fleet that goes down at once must not make room
// for itself with the crashes of a part that recurs.
void enforceLimits(CrashEvidence &evidence)
{
    size_t parts = 0;
    for (const Crash &crash : evidence.crashes) {
        parts += partsOf(crash);
    }
    while (evidence.crashes.size() > maxCrashes || (parts > maxParts && evidence.crashes.size() > 1)) {
        const auto recurrence = [&](const Crash &crash) {
            size_t most = 0;
            for (const CrashSuspect &suspect : crash.suspects) {
                for (const std::string &part : suspect.parts) {
                    const auto found = evidence.byPart.find(part);
                    most = std::max(most, found == evidence.byPart.end() ? 0 : found->second.size());
                }
            }
            return most;
        };
        // The newest one is not removed, or it would never be seen to recur.
        auto least = evidence.crashes.begin();
        size_t leastRecurrence = recurrence(*least);
        for (auto it = std::next(least); it != std::prev(evidence.crashes.end()); ++it) {
            if (const size_t other = recurrence(*it); other < leastRecurrence) {
                least = it;
                leastRecurrence = other;
            }
        }
        parts -= partsOf(*least);
        removeFromIndex(evidence, *least);
        evidence.crashes.erase(least);
    }
}

// Leaves the parts of a crash that have not been answered since.
Crash withoutSoundParts(const Crash &crash, const SoundParts &sound)
{
    Crash result = crash;
    for (CrashSuspect &suspect : result.suspects) {
        std::erase_if(suspect.parts, [&](const std::string &part) { return lastSound(sound, part).value_or(crash.crashedAt - 1) >= crash.crashedAt; });
    }
    std::erase_if(result.suspects, [](const CrashSuspect &suspect) { return suspect.parts.empty(); });
    for (CrashSuspect &suspect : result.suspects) {
        suspect.parts = suspectedParts(sound, suspect.parts);
    }
    return result;
}

bool isSameCrash(const Crash &left, const Crash &right)
{
    return left.upstream == right.upstream && std::abs(left.crashedAt - right.crashedAt) <= sameCrashTime;
}

} // namespace

std::vector<std::string> partsToLog(const std::vector<std::string> &parts)
{
    constexpr size_t maxLoggedParts = 48;
    return {parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), maxLoggedParts))};
}

std::vector<std::string> suspectedParts(const SoundParts &sound, const std::vector<std::string> &parts)
{
    if (parts.size() <= maxPartsPerSuspect) {
        return parts;
    }
    std::vector<std::string> chosen;
    for (const bool answered : {false, true}) {
        for (const std::string &part : parts) {
            if (lastSound(sound, part).has_value() == answered && chosen.size() < maxPartsPerSuspect) {
                chosen.push_back(part);
            }
        }
    }
    return chosen;
}

bool recordCrash(CrashEvidence &evidence, const Crash &crash, AK::Milliseconds now, const QuarantineSettings &settings)
{
    const Crash news = withoutSoundParts(crash, evidence.soundParts);
    if (news.suspects.empty() || now - crash.crashedAt > settings.evidenceMaxAge) {
        return false;
    }
    removeOldCrashes(evidence, now, settings);
    auto found = std::find_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &known) { return isSameCrash(known, news); });
    if (found == evidence.crashes.end()) {
        evidence.crashes.push_back({news.upstream, news.crashedAt, {}, now, ++evidence.lastNumber});
        found = std::prev(evidence.crashes.end());
    }
    bool isNews = false;
    for (const CrashSuspect &suspect : news.suspects) {
        const bool hasRoom = found->suspects.size() < maxSuspectsPerCrash && partsOf(*found) + suspect.parts.size() <= maxParts;
        if (hasRoom && !isKnown(evidence, found->number, suspect)) {
            found->suspects.push_back(suspect);
            addToIndex(evidence, *found, found->suspects.back());
            found->learnedAt = now;
            isNews = true;
        }
    }
    enforceLimits(evidence);
    return isNews;
}

bool recordSoundPart(CrashEvidence &evidence, const std::string &part, AK::Milliseconds at)
{
    recordSoundPart(evidence.soundParts, part, at);
    return clearPart(evidence, part, at);
}

void recordSoundPart(SoundParts &parts, const std::string &part, AK::Milliseconds at)
{
    if (parts.newer.size() >= minSoundParts) {
        parts.older = std::move(parts.newer);
        parts.newer.clear();
    }
    const std::optional<AK::Milliseconds> known = lastSound(parts, part);
    parts.newer[part] = std::max(at, known.value_or(at));
}

std::optional<AK::Milliseconds> lastSound(const SoundParts &parts, const std::string &part)
{
    for (const auto *known : {&parts.newer, &parts.older}) {
        if (const auto found = known->find(part); found != known->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace LibGateway
