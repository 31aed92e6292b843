#pragma once

#include <AK/EnumNames.h>
#include <LibFiber/Loop.h>
#include <LibPeers/PeerRecords.h>
#include <array>
#include <string>

namespace WeightAgent
{

/// Status that the engine on this host reports.
struct EngineStatus {
    LibPeers::EngineReport report;
    /// A load command is in progress.
    bool busy = false;
    /// Number of load commands accepted since the engine started.
    int64_t commandSequence = 0;
};

enum class LoadOutcome {
    /// The engine has started or already finished the load.
    Accepted,
    /// The command does not fit the state of the engine, or another command was accepted first.
    Conflict,
    /// Another agent has sent a command with a greater fencing token.
    Fenced,
};

inline constexpr std::array loadOutcomeNames{
    AK::EnumName{LoadOutcome::Accepted, "accepted"},
    AK::EnumName{LoadOutcome::Conflict, "conflict"},
    AK::EnumName{LoadOutcome::Fenced, "fenced"},
};

/// Treatment of the calls that run when the engine starts a load.
enum class LoadStrategy { WaitForCalls, AbortCalls };

/// Interface to the engine on this host.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Errors of all functions: kUnavailable, kDeadlineExceeded, kInvalidArgument for a malformed answer; kNotFound only where it is documented.
    virtual absl::StatusOr<EngineStatus> status(kj::WaitScope &scope) = 0;
    /// Writes a chunk to the staging area, from which the next load reads.
    virtual absl::Status stageChunk(kj::WaitScope &scope, const std::string &model, uint32_t index, const std::string &data) = 0;
    /// Reads a chunk from the staging area. kNotFound when it is not staged.
    virtual absl::StatusOr<std::string> stagedChunk(kj::WaitScope &scope, const std::string &model, uint32_t index) = 0;
    /// Commands the engine to load the staged chunks. `expectedSequence` is EngineStatus::commandSequence of the status on which the command is based; the
    /// engine refuses the command if it has accepted another one since. After an error the command may still have been accepted.
    virtual absl::StatusOr<LoadOutcome> load(kj::WaitScope &scope, const std::string &model, int64_t version, LoadStrategy strategy,
                                             int64_t expectedSequence) = 0;
};

/// Hashes of all chunks of a version.
struct WeightsManifest {
    int64_t version = 0;
    uint32_t chunkBytes = 0;
    /// SHA-256 of each chunk in hex.
    std::vector<std::string> digests;
};

/// Interface to the service that provides weights. Its link is slow and its traffic is expensive, so each byte should be read once.
class WeightsOrigin
{
public:
    virtual ~WeightsOrigin() = default;

    /// Opens a connection and closes it. Unlike a read it ends soon when the origin is away, and it sends no bytes when the origin is back.
    virtual absl::Status probe(kj::WaitScope &scope, const AK::Endpoint &origin) = 0;
    /// Text of the manifest as the origin sends it; see parseManifest().
    virtual absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &model, int64_t version) = 0;
    virtual absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &model, int64_t version, uint32_t index) = 0;
    /// Errors: kInvalidArgument naming the field.
    virtual absl::StatusOr<WeightsManifest> parseManifest(const std::string &text) const = 0;
};

} // namespace WeightAgent
