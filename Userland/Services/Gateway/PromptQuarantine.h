#pragma once

#include <AK/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Codec.h>
#include <LibGateway/CrashEvidence.h>
#include <LibPeers/PeerRecords.h>
#include <functional>
#include <map>

namespace Gateway
{

/// Finds the parts of prompts that crash upstreams and keeps calls with such a part from being sent. The entries exchange what they saw, because each of them
/// may see too few crashes; each then comes to the same result. QuarantineKeeper stores the parts and the crashes that may still show another one, so that they
/// outlive every process.
class PromptQuarantine
{
public:
    PromptQuarantine(const AK::Clock &clock, LibFleet::FleetState &fleet, LibGateway::QuarantineSettings settings = {});

    /// Sets the function that is called when this entry has found a part, so that the others learn of the crashes behind it at once.
    void onPartFound(std::function<void()> observer);

    /// Records a crash that broke off calls of this entry.
    void recordCrash(const LibGateway::Crash &crash);

    /// Records that an upstream has written a response to a prompt with these parts.
    void recordSoundPrompt(const std::vector<std::string> &parts);

    /// Whether a call with one of these parts must not be sent.
    bool isQuarantined(const std::vector<std::string> &parts) const;

    /// Whether a call that was broken off by a crash must not be sent to another upstream.
    bool isSuspected(const LibGateway::CallRequest &request) const;

    /// Adds the news of the last seconds to the state that other entries get.
    void addTo(LibPeers::NodeState &state) const;
    /// Records the news of another entry.
    void record(const LibPeers::NodeState &state);

    /// Parts found by this process that are not stored, and the monotonic time at which they were found.
    std::map<std::string, AK::Milliseconds> unstoredParts() const;
    /// Stored parts that turned out to be sound.
    std::vector<std::string> partsToRelease() const;
    /// Stored parts whose crashes another part explains, and the monotonic time at which this process found that.
    std::map<std::string, AK::Milliseconds> supersededParts() const;
    /// Parts that have been released lately. The crashes before no longer speak against them.
    std::set<std::string> releasedParts() const;
    /// Crashes that are worth storing; see LibGateway::recurringCrashes(). They change when evidenceChanges() does, or within crashSettleTime after it.
    std::vector<LibGateway::Crash> crashesToStore() const;
    /// Number of changes of the crashes so far, and the monotonic time of the last one.
    uint64_t evidenceChanges() const;
    AK::Milliseconds evidenceChangedAt() const;

    /// Answers that clear parts of a crash arrive within about this time.
    static constexpr AK::Milliseconds crashSettleTime = 1'000;

private:
    struct Entry {
        /// Monotonic time at which this process found the part or learned of it.
        AK::Milliseconds since = 0;
        bool isStored = false;
        /// Monotonic time at which another part turned out to be the cause, 0 for none.
        AK::Milliseconds supersededAt = 0;
    };

    bool isSoundSince(const std::string &part, AK::Milliseconds since) const;
    /// Takes over the stored parts. A part that is no longer stored has been released.
    void followStore();
    /// Takes over the stored crashes once after the start; later ones come from the other entries.
    void readStoredCrashes();
    void findParts();
    void supersedeParts();
    /// Records an answer, and that others have to learn of it if a crash spoke against the part.
    void recordSoundPart(const std::string &part, AK::Milliseconds at);
    /// Records a crash. Returns whether there is anything new.
    bool record(const LibGateway::Crash &crash);
    /// Counts a change of the crashes.
    void noteChange();

    const AK::Clock &clock;
    LibFleet::FleetState &fleet;
    LibGateway::QuarantineSettings settings;
    LibGateway::CrashEvidence evidence;
    std::map<std::string, Entry> quarantined;
    /// Monotonic time at which this process learned that a part is sound although a crash spoke against it.
    std::map<std::string, AK::Milliseconds> clearedParts;
    /// Monotonic time of the release of a part.
    std::map<std::string, AK::Milliseconds> released;
    bool storedCrashesRead = false;
    uint64_t changes = 0;
    AK::Milliseconds changedAt = 0;
    std::function<void()> foundObserver;
    LibLog::Logger logger{"quarantine"};
};

} // namespace Gateway
