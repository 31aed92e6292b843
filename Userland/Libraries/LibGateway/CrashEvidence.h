#pragma once

#include <AK/Clock.h>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace LibGateway
{

/// A call that broke off when its upstream crashed and that may be the cause: its response had hardly begun.
struct CrashSuspect {
    /// Hash of the last part of the prompt: a call and its repetitions have the same.
    uint64_t prompt = 0;
    /// Monotonic time at which the call was sent to the upstream.
    AK::Milliseconds sentAt = 0;
    /// Parts of the prompt that other calls may share, in order.
    std::vector<std::string> parts;
};

/// The crash of an upstream, as one entry or several together saw it.
struct Crash {
    /// Id of the upstream instance.
    std::string upstream;
    /// Monotonic time.
    AK::Milliseconds crashedAt = 0;
    std::vector<CrashSuspect> suspects;
    /// Monotonic time at which this process last learned something of it.
    AK::Milliseconds learnedAt = 0;
};

/// When upstreams last wrote responses to prompts with a part, without crashing. The oldest parts are forgotten.
struct SoundParts {
    std::unordered_map<std::string, AK::Milliseconds> newer;
    std::unordered_map<std::string, AK::Milliseconds> older;
};

/// What is known of crashes and of prompts that did not cause any.
struct CrashEvidence {
    /// In order of learning.
    std::vector<Crash> crashes;
    SoundParts soundParts;
};

struct QuarantineSettings {
    /// Older crashes don't count.
    AK::Milliseconds evidenceMaxAge = 30'000;
    /// Crashes that make a part the cause, of upstreams that had got so many different prompts with it. One prompt alone, sent again after each crash, is no
    /// proof against a part that it shares.
    size_t crashes = 3;
    size_t prompts = 2;
    /// Crashes of which each follows from a call sent after the one before: many upstreams that crash together crash once.
    size_t rounds = 2;
    /// The same for a part whose prompts were answered before.
    size_t crashesOfSoundPart = 6;
    size_t promptsOfSoundPart = 4;
    size_t roundsOfSoundPart = 3;
    /// Of the parts that explain at least this share of the crashes that any part explains, the one furthest back in the prompt is the cause: parts at the
    /// front are shared by most prompts.
    double equalShare = 0.7;
};

/// Adds what one entry saw of a crash. Returns false when all of it was known.
bool recordCrash(CrashEvidence &evidence, const Crash &crash, AK::Milliseconds now, const QuarantineSettings &settings);

/// Records that an upstream has written a response to a prompt with a part.
void recordSoundPart(SoundParts &parts, const std::string &part, AK::Milliseconds at);

/// Monotonic time at which a prompt with the part was last answered, if that is known.
std::optional<AK::Milliseconds> lastSound(const SoundParts &parts, const std::string &part);

/// Parts that crash upstreams, the most certain first, beyond those `known` to do so. Load pattern: requests that share one part crash each upstream that
/// begins to write, at any entry, while others share their remaining parts and the upstreams.
std::vector<std::string> findCrashingParts(const CrashEvidence &evidence, const std::set<std::string> &known, AK::Milliseconds now,
                                           const QuarantineSettings &settings);

/// Whether a crash has hit another prompt with one of the parts, none of whose prompts was answered so far. Such a prompt is not sent to a second upstream.
bool isSuspected(const CrashEvidence &evidence, const std::vector<std::string> &parts, uint64_t prompt);

} // namespace LibGateway
