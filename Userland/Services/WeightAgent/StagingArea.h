#pragma once

#include "EngineControl.h"
#include "UnansweredCalls.h"
#include "VersionStore.h"
#include <AK/RecentCheck.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace WeightAgent
{

/// The staging area of the engine on this host. It holds one copy of each chunk, whichever version that copy belongs to, and a load takes all of them as they
/// are. So while a version is being loaded, and as long as an unanswered load command for it may take effect, no other version is staged.
class StagingArea
{
public:
    /// What one pass over all chunks has shown.
    struct Comparison {
        AK::RecentCheck check;
        /// Chunks that were missing or differed. They have not been read back.
        size_t staged = 0;
        /// EngineContact::startTime when the pass began.
        int64_t engineStart = 0;

        /// Whether the engine holds all chunks, as far as can be known: nothing had to be staged, the pass is recent, and the engine has not restarted since.
        /// Must be asked right before the load command, with nothing between that can wait.
        bool provesStaged(const EngineStatus &status) const;
    };

    /// Reserves the area for the load of one version while it exists.
    class Reservation
    {
    public:
        Reservation(StagingArea &area, int64_t version);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

    private:
        StagingArea &area;
    };

    StagingArea(LibFiber::Loop &loop, EngineControl &engine);

    /// Notes the result of a status call.
    void noteStatus(const absl::StatusOr<EngineStatus> &read);

    /// Whether a chunk of this version may be staged now.
    bool mayStage(int64_t version) const;
    /// Whether no chunk of another version can reach the area any more, and no load command for another version can take effect.
    bool isSettled(int64_t version) const;
    /// Whether this chunk was staged, or found staged, since another version's was. The engine may have lost it meanwhile.
    bool holds(int64_t version, uint32_t index) const;

    /// Stages a chunk that `held` has. Errors: kFailedPrecondition when mayStage() is false, else those of EngineControl::stageChunk().
    absl::Status stage(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, uint32_t index);

    /// Compares all staged chunks with `held`, which is complete, and stages those that are missing or differ. Nothing when the engine fails, or when `wanted`
    /// no longer holds; it is asked after each wait.
    std::optional<Comparison> compare(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, const std::function<bool()> &wanted);

    /// Adds the staged chunks that belong to `held` to it while `wanted` holds.
    void adopt(kj::WaitScope &scope, const std::string &model, HeldVersion &held, const std::function<bool()> &wanted);

    /// Sends a load command for what is staged. Errors: those of EngineControl::load().
    absl::StatusOr<LoadOutcome> load(kj::WaitScope &scope, const std::string &model, int64_t version, LoadStrategy strategy, int64_t expectedSequence);

private:
    bool mayRunLater(const std::vector<UnansweredCall> &calls, int64_t version) const;
    /// Adds a call that has just ended without an answer. It takes the place of one like it, so that an engine that is away for long fills no memory.
    void addUnanswered(std::vector<UnansweredCall> &calls, int64_t version, std::optional<int64_t> expectedSequence) const;

    LibFiber::Loop &loop;
    EngineControl &engine;
    /// Wall time in ms.
    AK::Milliseconds createdAt;
    EngineContact contact;
    AK::Milliseconds answeredAt = 0;
    std::optional<int64_t> reservedFor;
    /// Versions of the chunks that are being written.
    std::multiset<int64_t> writing;
    std::vector<UnansweredCall> unansweredWrites;
    std::vector<UnansweredCall> unansweredLoads;
    /// Version of each chunk, as far as this process has written or verified it.
    std::map<uint32_t, int64_t> contents;
    LibLog::Logger logger{"staging"};
};

} // namespace WeightAgent
