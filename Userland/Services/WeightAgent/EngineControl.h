#pragma once

#include <AK/EnumNames.h>
#include <LibFiber/Loop.h>
#include <LibPeers/PeerRecords.h>
#include <array>
#include <string>

namespace WeightAgent
{

/// What the engine on this host says of itself.
struct EngineStatus {
    LibPeers::EngineReport report;
    /// An order is in progress.
    bool busy = false;
    /// Load commands accepted since its start.
    int64_t commandSequence = 0;
};

enum class LoadOutcome {
    /// The engine has begun or already done it.
    Accepted,
    /// It does not fit the state of the engine, or another order came before.
    Conflict,
    /// Another agent with a greater fencing token has given orders.
    Fenced,
};

inline constexpr std::array loadOutcomeNames{
    AK::EnumName{LoadOutcome::Accepted, "accepted"},
    AK::EnumName{LoadOutcome::Conflict, "conflict"},
    AK::EnumName{LoadOutcome::Fenced, "fenced"},
};

/// What becomes of the calls that run when an engine loads weights.
enum class LoadStrategy { WaitForCalls, AbortCalls };

/// The engine on this host, reached through one adapter.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Errors of all functions: kUnavailable, kDeadlineExceeded, kInvalidArgument for an answer that can't be read; kNotFound where said.
    virtual absl::StatusOr<EngineStatus> status(kj::WaitScope &scope) = 0;
    /// Puts a chunk where the next load takes it from.
    virtual absl::Status stageChunk(kj::WaitScope &scope, const std::string &model, uint32_t index, const std::string &data) = 0;
    /// kNotFound when nothing is staged there.
    virtual absl::StatusOr<std::string> stagedChunk(kj::WaitScope &scope, const std::string &model, uint32_t index) = 0;
    /// Orders the load of what is staged. `expectedSequence` is EngineStatus::commandSequence of the status that led to it. After an error the order may have been
    /// accepted.
    virtual absl::StatusOr<LoadOutcome> load(kj::WaitScope &scope, const std::string &model, int64_t version, LoadStrategy strategy,
                                             int64_t expectedSequence) = 0;
};

/// Hashes that pin every byte of a version.
struct WeightsManifest {
    int64_t version = 0;
    uint32_t chunkBytes = 0;
    /// SHA-256 in hex by chunk.
    std::vector<std::string> digests;
};

/// The service that hands out weights, reached through one adapter. Its link is slow and its bytes are dear.
class WeightsOrigin
{
public:
    virtual ~WeightsOrigin() = default;

    /// Text of the manifest as the origin sends it; see ManifestCodec.
    virtual absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &model, int64_t version) = 0;
    virtual absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &model, int64_t version, uint32_t index) = 0;
    /// Errors: kInvalidArgument with the field.
    virtual absl::StatusOr<WeightsManifest> parseManifest(const std::string &text) const = 0;
};

} // namespace WeightAgent
