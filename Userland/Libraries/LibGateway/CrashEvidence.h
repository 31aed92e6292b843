#pragma once

#include <AK/Clock.h>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace LibGateway
{

/// A call that broke off when its upstream crashed and that may be the cause: the upstream was working on it.
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
    /// Its number in the evidence of this process.
    uint64_t number = 0;
};

/// When upstreams last wrote responses to prompts with a part, without crashing. The oldest parts are forgotten.
struct SoundParts {
    std::unordered_map<std::string, AK::Milliseconds> newer;
    std::unordered_map<std::string, AK::Milliseconds> older;
};

/// What is known of crashes and of prompts that did not cause any. Its size is bounded, however long the prompts are and however many upstreams crash.
struct CrashEvidence {
    /// In order of learning. A part that has been answered after a crash stands in it no more: that answer counts for as long as the crash does, longer than
    /// SoundParts remembers it.
    std::vector<Crash> crashes;
    SoundParts soundParts;
    /// Crashes by the parts in them. Kept by the functions below.
    struct PartCrash {
        uint64_t number = 0;
        AK::Milliseconds crashedAt = 0;
        /// Of the earliest suspect with the part.
        AK::Milliseconds sentAt = 0;
        std::set<uint64_t> prompts;
    };
    std::unordered_map<std::string, std::vector<PartCrash>> byPart;
    /// Number of the last crash.
    uint64_t lastNumber = 0;
};

/// The first parts of a prompt, for a log line; a prompt may have thousands.
std::vector<std::string> partsToLog(const std::vector<std::string> &parts);

struct QuarantineSettings {
    /// Older crashes don't count. Requests with a part that crashes upstreams may be minutes apart; an answer in between clears the parts of a sound prompt.
    AK::Milliseconds evidenceMaxAge = 3'600'000;
    /// Crashes that make a part the cause, of upstreams that had got so many different prompts with it. One prompt alone, sent again after each crash, is no
    /// proof against a part that it shares.
    size_t crashes = 3;
    size_t prompts = 2;
    /// Crashes of which each follows from a call sent after the one before: many upstreams that crash together crash once.
    size_t rounds = 2;
    /// The same for a part whose prompts were answered before.
    size_t crashesOfSoundPart = 6;
    size_t promptsOfSoundPart = 2;
    size_t roundsOfSoundPart = 3;
    /// Crashes, in as many rounds, that a part must explain beyond the parts already found before it takes their place: a part that other prompts share stands
    /// in all crashes of several sessions, the parts of these sessions each in some of them.
    size_t crashesBeyondKnown = 2;
    /// Rounds of crashes after which a call with a part that was answered before is not sent to a second upstream.
    size_t roundsOfSuspectedSoundPart = 3;
    /// Of the parts that explain at least this share of the crashes that any part explains, the one furthest back in the prompt is the cause: parts at the
    /// front are shared by most prompts.
    double equalShare = 0.7;
};

/// The parts of a prompt that may be the cause of a crash: all, or of a very long prompt as many as evidence can hold, those first that were never answered.
std::vector<std::string> suspectedParts(const SoundParts &sound, const std::vector<std::string> &parts);

/// Adds what one entry saw of a crash, without the parts that have been answered since. Returns false when nothing is new.
bool recordCrash(CrashEvidence &evidence, const Crash &crash, AK::Milliseconds now, const QuarantineSettings &settings);

/// Records that an upstream has written a response to a prompt with a part. Returns whether that clears the part of a crash, which others may not know.
bool recordSoundPart(CrashEvidence &evidence, const std::string &part, AK::Milliseconds at);

/// The same without any crashes.
void recordSoundPart(SoundParts &parts, const std::string &part, AK::Milliseconds at);

/// Monotonic time at which a prompt with the part was last answered, if that is known.
std::optional<AK::Milliseconds> lastSound(const SoundParts &parts, const std::string &part);

} // namespace LibGateway
