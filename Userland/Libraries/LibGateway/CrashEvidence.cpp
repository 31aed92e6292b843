#include <LibGateway/CrashEvidence.h>

#include <algorithm>
#include <map>

namespace LibGateway
{

namespace
{

// Records of an instance at most this far apart describe one crash; an instance may start again under its id.
constexpr AK::Milliseconds sameCrashTime = 2'000;
constexpr size_t maxCrashes = 128;
constexpr size_t maxSuspectsPerCrash = 64;
// Parts remembered are between this number and its double.
constexpr size_t minSoundParts = 8'192;

bool isSameSuspect(const CrashSuspect &left, const CrashSuspect &right)
{
    return left.prompt == right.prompt && left.parts == right.parts;
}

bool hasPart(const CrashSuspect &suspect, const std::string &part)
{
    return std::find(suspect.parts.begin(), suspect.parts.end(), part) != suspect.parts.end();
}

bool isExplained(const Crash &crash, const std::set<std::string> &causes)
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const CrashSuspect &suspect) {
        return std::any_of(suspect.parts.begin(), suspect.parts.end(), [&](const std::string &part) { return causes.contains(part); });
    });
}

/// What speaks against one part.
struct PartCase {
    std::string part;
    size_t position = 0;
    bool answeredBefore = false;
    /// Time of each crash, and the earliest send of a suspect with the part.
    std::vector<std::pair<AK::Milliseconds, AK::Milliseconds>> crashes;
    std::set<uint64_t> prompts;
};

std::vector<PartCase> collectCases(const CrashEvidence &evidence, AK::Milliseconds now, const std::set<std::string> &causes, const QuarantineSettings &settings)
{
    std::map<std::string, PartCase> cases;
    for (const Crash &crash : evidence.crashes) {
        if (now - crash.crashedAt > settings.evidenceMaxAge || isExplained(crash, causes)) {
            continue;
        }
        std::map<std::string, AK::Milliseconds> sentAt;
        for (const CrashSuspect &suspect : crash.suspects) {
            for (size_t position = 0; position < suspect.parts.size(); ++position) {
                const std::string &part = suspect.parts[position];
                const std::optional<AK::Milliseconds> sound = lastSound(evidence.soundParts, part);
                if (sound && *sound >= crash.crashedAt) {
                    continue;
                }
                PartCase &partCase = cases[part];
                partCase.part = part;
                partCase.position = std::max(partCase.position, position);
                partCase.answeredBefore = sound.has_value();
                partCase.prompts.insert(suspect.prompt);
                const auto [earliest, isNew] = sentAt.try_emplace(part, suspect.sentAt);
                earliest->second = std::min(earliest->second, suspect.sentAt);
            }
        }
        for (const auto &[part, sent] : sentAt) {
            cases[part].crashes.emplace_back(crash.crashedAt, sent);
        }
    }
    std::vector<PartCase> result;
    result.reserve(cases.size());
    for (auto &[part, partCase] : cases) {
        result.push_back(std::move(partCase));
    }
    return result;
}

size_t countRounds(std::vector<std::pair<AK::Milliseconds, AK::Milliseconds>> crashes)
{
    std::sort(crashes.begin(), crashes.end());
    size_t rounds = 0;
    AK::Milliseconds lastCrashAt = 0;
    for (const auto &[crashedAt, sentAt] : crashes) {
        if (rounds == 0 || sentAt >= lastCrashAt) {
            ++rounds;
            lastCrashAt = crashedAt;
        }
    }
    return rounds;
}

bool isProven(const PartCase &partCase, const QuarantineSettings &settings)
{
    const bool sound = partCase.answeredBefore;
    return partCase.crashes.size() >= (sound ? settings.crashesOfSoundPart : settings.crashes)
        && partCase.prompts.size() >= (sound ? settings.promptsOfSoundPart : settings.prompts)
        && countRounds(partCase.crashes) >= (sound ? settings.roundsOfSoundPart : settings.rounds);
}

const PartCase *chooseCause(const std::vector<PartCase> &cases, bool answeredBefore, const QuarantineSettings &settings)
{
    const auto isCandidate = [&](const PartCase &partCase) {
        return partCase.answeredBefore == answeredBefore && isProven(partCase, settings);
    };
    size_t most = 0;
    for (const PartCase &partCase : cases) {
        most = std::max(most, isCandidate(partCase) ? partCase.crashes.size() : 0);
    }
    const PartCase *chosen = nullptr;
    for (const PartCase &partCase : cases) {
        if (!isCandidate(partCase) || static_cast<double>(partCase.crashes.size()) < settings.equalShare * static_cast<double>(most)) {
            continue;
        }
        if (chosen == nullptr || partCase.position > chosen->position
            || (partCase.position == chosen->position && partCase.crashes.size() > chosen->crashes.size())) {
            chosen = &partCase;
        }
    }
    return chosen;
}

} // namespace

bool recordCrash(CrashEvidence &evidence, const Crash &crash, AK::Milliseconds now, const QuarantineSettings &settings)
{
    std::erase_if(evidence.crashes, [&](const Crash &known) { return now - known.crashedAt > settings.evidenceMaxAge; });
    const auto found = std::find_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &known) {
        return known.upstream == crash.upstream && std::abs(known.crashedAt - crash.crashedAt) <= sameCrashTime;
    });
    if (found == evidence.crashes.end()) {
        if (evidence.crashes.size() >= maxCrashes) {
            evidence.crashes.erase(evidence.crashes.begin());
        }
        evidence.crashes.push_back(crash);
        evidence.crashes.back().learnedAt = now;
        return true;
    }
    bool isNews = false;
    for (const CrashSuspect &suspect : crash.suspects) {
        const bool isKnown =
            std::any_of(found->suspects.begin(), found->suspects.end(), [&](const CrashSuspect &known) { return isSameSuspect(known, suspect); });
        if (!isKnown && found->suspects.size() < maxSuspectsPerCrash) {
            found->suspects.push_back(suspect);
            found->learnedAt = now;
            isNews = true;
        }
    }
    return isNews;
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

std::vector<std::string> findCrashingParts(const CrashEvidence &evidence, const std::set<std::string> &known, AK::Milliseconds now,
                                           const QuarantineSettings &settings)
{
    std::vector<std::string> found;
    std::set<std::string> causes = known;
    while (true) {
        const std::vector<PartCase> cases = collectCases(evidence, now, causes, settings);
        const PartCase *cause = chooseCause(cases, false, settings);
        cause = cause == nullptr ? chooseCause(cases, true, settings) : cause;
        if (cause == nullptr) {
            return found;
        }
        found.push_back(cause->part);
        causes.insert(cause->part);
    }
}

bool isSuspected(const CrashEvidence &evidence, const std::vector<std::string> &parts, uint64_t prompt)
{
    return std::any_of(parts.begin(), parts.end(), [&](const std::string &part) {
        return !lastSound(evidence.soundParts, part) && std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &crash) {
            return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                               [&](const CrashSuspect &suspect) { return suspect.prompt != prompt && hasPart(suspect, part); });
        });
    });
}

} // namespace LibGateway
