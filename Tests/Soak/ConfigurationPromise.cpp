#include "Promises.h"

#include <AK/Text.h>
#include <algorithm>

namespace Soak
{

namespace
{

// How a call was handled: by a service, or as if its route did not exist (empty).
struct Effect {
    const Call *call = nullptr;
    std::string service;
    AK::Milliseconds at = 0;
};

std::vector<Effect> effectsOf(const Call &call)
{
    std::vector<Effect> effects;
    for (const Arrival &arrival : call.arrivals) {
        effects.push_back({&call, arrival.service, arrival.at});
    }
    if (call.arrivals.empty() && call.status == 404) {
        effects.push_back({&call, "", call.endedAt});
    }
    return effects;
}

bool allows(const ConfigurationVersion &version, const Effect &effect)
{
    const auto found = version.services.find(effect.call->prefix);
    return (found == version.services.end() ? "" : found->second) == effect.service;
}

// Index of the first version from `start` on, accepted by the time of the effect, that allows it.
std::optional<size_t> firstAllowing(const std::vector<ConfigurationVersion> &versions, const Effect &effect, size_t start)
{
    for (size_t i = start; i < versions.size() && versions[i].acceptedAt <= effect.at; ++i) {
        if (allows(versions[i], effect)) {
            return i;
        }
    }
    return std::nullopt;
}

// Index of the newest version that was accepted `applyTime` before `time`.
size_t newestDue(const std::vector<ConfigurationVersion> &versions, AK::Milliseconds time, AK::Milliseconds applyTime)
{
    size_t due = 0;
    for (size_t i = 0; i < versions.size() && versions[i].acceptedAt + applyTime < time; ++i) {
        due = i;
    }
    return due;
}

// The versions seen in force in one start of an entry's process.
void checkBoot(const History &history, std::vector<Effect> effects, std::vector<Finding> &findings)
{
    constexpr AK::Milliseconds impairedFactor = 8;
    const std::vector<ConfigurationVersion> &versions = history.configurations;
    std::sort(effects.begin(), effects.end(), [](const Effect &left, const Effect &right) { return left.at < right.at; });
    std::vector<std::pair<AK::Milliseconds, size_t>> seen;
    size_t newest = 0;
    for (const Effect &effect : effects) {
        const Call &call = *effect.call;
        const bool inTouch = history.inTouch(call.entry, call.startedAt, effect.at);
        const size_t due = inTouch ? newestDue(versions, call.startedAt, history.bounds.configurationApply) : 0;
        const AK::Milliseconds slack = inTouch ? history.bounds.rollbackSlack : impairedFactor * history.bounds.rollbackSlack;
        size_t shown = 0;
        for (auto it = seen.rbegin(); it != seen.rend(); ++it) {
            if (it->first + slack < call.startedAt) {
                shown = it->second;
                break;
            }
        }
        const bool asSent = firstAllowing(versions, effect, 0).has_value();
        if (!asSent) {
            findings.push_back({"ROUTE", "allowed by no version: " + describe(call)});
        } else if (!firstAllowing(versions, effect, due)) {
            findings.push_back(
                {"CONFIG", AK::concat("handled as before version ", versions[due].version, " of ", versions[due].acceptedAt, ": ", describe(call))});
        } else if (!firstAllowing(versions, effect, shown)) {
            findings.push_back({"CONFIG", AK::concat("went back behind version ", versions[shown].version, ": ", describe(call))});
        }
        // A version that was in force before allows older effects no more.
        const size_t least = firstAllowing(versions, effect, shown).value_or(0);
        if (least > newest) {
            newest = least;
            seen.emplace_back(effect.at, newest);
        }
    }
}

} // namespace

void checkConfigurations(const History &history, std::vector<Finding> &findings)
{
    std::map<std::pair<size_t, int>, std::vector<Effect>> boots;
    for (const Call &call : history.calls) {
        for (const Effect &effect : effectsOf(call)) {
            boots[{call.entry, call.entryBoot}].push_back(effect);
        }
    }
    for (auto &[boot, effects] : boots) {
        checkBoot(history, std::move(effects), findings);
    }
}

} // namespace Soak
