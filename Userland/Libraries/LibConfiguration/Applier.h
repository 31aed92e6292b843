#pragma once

#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibAudit/AuditTrail.h>
#include <LibConfiguration/RevisionHolder.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>

namespace LibConfiguration
{

/// A change that an operator wants.
struct ApplyRequest {
    nlohmann::json document;
    /// Revision that the operator saw; 0 when there is none yet.
    uint64_t expectedRevision = 0;
    /// Chosen by the operator's command, unique, 1 to 64 characters. Repeating a request with the same id is harmless.
    std::string changeId;
    std::string author;
    std::string reason;
    /// Permits taking out the last upstream of a service.
    bool force = false;
};

enum class ApplyResult { Accepted, Conflict, Invalid, LastUpstream, StoreUnreachable, Unknown };

inline constexpr std::array applyResultNames{
    AK::EnumName{ApplyResult::Accepted, "accepted"},
    AK::EnumName{ApplyResult::Conflict, "conflict"},
    AK::EnumName{ApplyResult::Invalid, "invalid"},
    AK::EnumName{ApplyResult::LastUpstream, "last_upstream"},
    AK::EnumName{ApplyResult::StoreUnreachable, "store_unreachable"},
    AK::EnumName{ApplyResult::Unknown, "unknown"},
};

struct ApplyOutcome {
    ApplyResult result = ApplyResult::Unknown;
    /// Accepted: the revision that the change made.
    uint64_t revision = 0;
    std::string message;
    /// Conflict: the change that won.
    std::optional<LibAudit::AuditEntry> winner;
};

/// Applies changes to the object `config/<site>`, each by one conditional update. Thread-safe.
class Applier
{
public:
    Applier(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store, RevisionHolder &holder);

    /// Blocks up to about ten store timeouts.
    ApplyOutcome apply(const ApplyRequest &request);

private:
    /// What the store holds. A version of 0 means that there is no object yet.
    struct Base {
        uint64_t version = 0;
        LibSettings::Revision revision;
    };

    absl::StatusOr<Base> readBase();
    std::optional<ApplyOutcome> settledBy(const Base &base, const ApplyRequest &request) const;
    absl::StatusOr<std::string> makeRevision(const Base &base, const ApplyRequest &request);
    absl::StatusOr<uint64_t> write(const Base &base, const std::string &value);
    ApplyOutcome writeAndResolve(const Base &base, const ApplyRequest &request, const std::string &value);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    RevisionHolder &holder;
};

} // namespace LibConfiguration
