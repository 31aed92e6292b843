#include <LibGateway/CrashingParts.h>

#include <algorithm>
#include <map>

namespace LibGateway
{

namespace
{

using PartCrashes = std::vector<CrashEvidence::PartCrash>;

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
    PartCrashes crashes;
    /// Of these, the crashes that no known part explains.
    PartCrashes unexplained;
};

std::vector<PartCase> collectCases(const CrashEvidence &evidence, AK::Milliseconds now, const std::set<std::string> &causes, const QuarantineSettings &settings)
{
    std::set<uint64_t> explained;
    for (const Crash &crash : evidence.crashes) {
        if (isExplained(crash, causes)) {
            explained.insert(crash.number);
        }
    }
    std::map<std::string, PartCase> cases;
    for (const Crash &crash : evidence.crashes) {
        for (const CrashSuspect &suspect : crash.suspects) {
            for (size_t position = 0; position < suspect.parts.size(); ++position) {
                const std::string &part = suspect.parts[position];
                const auto rows = evidence.byPart.find(part);
                if (rows != evidence.byPart.end() && rows->second.size() >= settings.crashes && !causes.contains(part)) {
                    cases[part].position = std::max(cases[part].position, position);
                }
            }
        }
    }
    std::vector<PartCase> result;
    for (auto &[part, partCase] : cases) {
        for (const CrashEvidence::PartCrash &row : evidence.byPart.at(part)) {
            if (now - row.crashedAt > settings.evidenceMaxAge) {
                continue;
            }
            partCase.crashes.push_back(row);
            if (!explained.contains(row.number)) {
                partCase.unexplained.push_back(row);
            }
        }
        if (!partCase.unexplained.empty()) {
            partCase.part = part;
            partCase.answeredBefore = lastSound(evidence.soundParts, part).has_value();
            result.push_back(std::move(partCase));
        }
    }
    return result;
}

size_t countPrompts(const PartCrashes &crashes)
{
    std::set<uint64_t> prompts;
    for (const CrashEvidence::PartCrash &crash : crashes) {
        prompts.insert(crash.prompts.begin(), crash.prompts.end());
    }
    return prompts.size();
}

bool isEnough(const PartCrashes &crashes, bool answeredBefore, const QuarantineSettings &settings)
{
    return crashes.size() >= (answeredBefore ? settings.crashesOfSoundPart : settings.crashes)
        && countPrompts(crashes) >= (answeredBefore ? settings.promptsOfSoundPart : settings.prompts)
        && countRounds(crashes) >= (answeredBefore ? settings.roundsOfSoundPart : settings.rounds);
}

bool isProven(const PartCase &partCase, const QuarantineSettings &settings)
{
    if (isEnough(partCase.unexplained, partCase.answeredBefore, settings)) {
        return true;
    }
    return isEnough(partCase.crashes, partCase.answeredBefore, settings) && countRounds(partCase.unexplained) >= settings.crashesBeyondKnown;
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

size_t countRounds(const PartCrashes &crashes)
{
    std::vector<std::pair<AK::Milliseconds, AK::Milliseconds>> times;
    times.reserve(crashes.size());
    for (const CrashEvidence::PartCrash &crash : crashes) {
        times.emplace_back(crash.crashedAt, crash.sentAt);
    }
    std::sort(times.begin(), times.end());
    size_t rounds = 0;
    AK::Milliseconds lastCrashAt = 0;
    for (const auto &[crashedAt, sentAt] : times) {
        if (rounds == 0 || sentAt >= lastCrashAt) {
            ++rounds;
            lastCrashAt = crashedAt;
        }
    }
    return rounds;
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

std::vector<std::string> findSupersededParts(const CrashEvidence &evidence, const std::set<std::string> &known, const QuarantineSettings &settings)
{
    // By known part, the crashes that it stands in.
    std::map<std::string, std::set<size_t>> explained;
    for (size_t crash = 0; crash < evidence.crashes.size(); ++crash) {
        for (const CrashSuspect &suspect : evidence.crashes[crash].suspects) {
            for (const std::string &part : suspect.parts) {
                if (known.contains(part)) {
                    explained[part].insert(crash);
                }
            }
        }
    }
    std::vector<std::string> superseded;
    for (const auto &row : explained) {
        const std::set<size_t> &crashes = row.second;
        const bool isCovered = std::any_of(explained.begin(), explained.end(), [&](const auto &other) {
            return other.second.size() >= crashes.size() + settings.crashesBeyondKnown
                && std::includes(other.second.begin(), other.second.end(), crashes.begin(), crashes.end());
        });
        if (isCovered) {
            superseded.push_back(row.first);
        }
    }
    return superseded;
}

bool isSuspected(const CrashEvidence &evidence, const std::vector<std::string> &parts, uint64_t prompt, const QuarantineSettings &settings)
{
    return !evidence.byPart.empty() && std::any_of(parts.begin(), parts.end(), [&](const std::string &part) {
        const auto found = evidence.byPart.find(part);
        if (found == evidence.byPart.end()) {
            return false;
        }
        const bool crashedByAnother = std::any_of(found->second.begin(), found->second.end(), [&](const CrashEvidence::PartCrash &row) {
            return row.prompts.size() > (row.prompts.contains(prompt) ? 1 : 0);
        });
        return crashedByAnother && (!lastSound(evidence.soundParts, part) || countRounds(found->second) >= settings.roundsOfSuspectedSoundPart);
    });
}

} // namespace LibGateway
