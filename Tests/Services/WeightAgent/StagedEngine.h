#pragma once

#include "LoneAgent.h"
#include <functional>
#include <string>
#include <vector>

namespace LoneAgentTest
{

/// Chunk of a version; no two versions share one.
std::string versionChunk(int64_t version, uint32_t index);

/// Sends manifests and chunks at once, but the last chunk only while it is open, so that no version is complete before.
class VersionedOrigin final : public SoundOrigin
{
public:
    explicit VersionedOrigin(LibFiber::Loop &loop);

    absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version) override;
    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version, uint32_t index) override;

    LibFiber::Loop &loop;
    bool open = false;
};

enum class EngineCall { Status, Read, Write, Load };

/// An engine with a staging area that can crash, come back and execute calls late. Loads take what is staged, whichever version it belongs to.
class StagedEngine final : public WeightAgent::EngineControl
{
public:
    /// `loaded`: version that it holds and that is staged.
    explicit StagedEngine(int64_t loaded);

    /// Must be called before the first call, and again when the agent is started again on another loop.
    void useLoop(LibFiber::Loop &current);

    absl::StatusOr<WeightAgent::EngineStatus> status(kj::WaitScope &scope) override;
    absl::Status stageChunk(kj::WaitScope &scope, const std::string &name, uint32_t index, const std::string &data) override;
    absl::StatusOr<std::string> stagedChunk(kj::WaitScope &scope, const std::string &name, uint32_t index) override;
    absl::StatusOr<WeightAgent::LoadOutcome> load(kj::WaitScope &scope, const std::string &name, int64_t version, WeightAgent::LoadStrategy strategy,
                                                  int64_t expectedSequence) override;

    /// Ends the engine; it is back after `downTime` ms with no layers, and with what was staged.
    void crash(AK::Milliseconds downTime);
    bool isUp() const;

    /// Executes `effect` with the first call after `delay` ms, unless the engine has crashed by then and `survivesCrash` is false.
    void after(AK::Milliseconds delay, std::function<void()> effect, bool survivesCrash = false);

    /// Called in each call that arrives, before it is executed.
    std::function<void(EngineCall, uint32_t)> observer = [](EngineCall, uint32_t) {
    };

    std::map<uint32_t, std::string> staged;
    int64_t loadedVersion;
    bool busy = false;
    /// Calls that are running, as the status reports them.
    uint32_t running = 0;
    /// Time of each call in ms.
    AK::Milliseconds callTime = 1;
    /// The next write, or load, gets no answer and is executed after this time.
    std::optional<AK::Milliseconds> lateWrite;
    std::optional<AK::Milliseconds> lateLoad;
    /// Versions in the order of their loads.
    std::vector<int64_t> loads;
    /// Loads that took a chunk of another version, or none.
    std::vector<std::string> mixedLoads;

private:
    absl::Status arrive(kj::WaitScope &scope, EngineCall call, uint32_t index);
    void applyEffects();
    WeightAgent::LoadOutcome accept(int64_t version, int64_t expectedSequence);

    struct Effect {
        AK::Milliseconds dueAt;
        bool survivesCrash;
        std::function<void()> apply;
    };

    LibFiber::Loop *loop = nullptr;
    std::vector<Effect> effects;
    std::optional<AK::Milliseconds> downUntil;
    int64_t startTime = 1;
    int64_t sequence = 0;
};

} // namespace LoneAgentTest
