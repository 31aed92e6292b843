#pragma once

#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibAudit/AuditTrail.h>
#include <LibConfiguration/RevisionHolder.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>

namespace LibConfiguration
{

/// A configuration change requested by an operator.
struct ApplyRequest {
    nlohmann::json document;
    /// Revision that the change is based on; 0 when there is none yet.
    uint64_t expectedRevision = 0;
    /// Unique id chosen by the operator's command, 1 to 64 characters. It makes a repeated request idempotent.
    std::string changeId;
    std::string author;
    std::string reason;
    /// Permits a change that takes the last upstream of a service out of service.
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
    /// Accepted: the number of the revision that the change created.
    uint64_t revision = 0;
    std::string message;
    /// Conflict: the audit entry of the change that was accepted instead.
    std::optional<LibAudit::AuditEntry> winner;
};

/// Applies changes to the object `config/<site>`, each with one conditional write. Thread-safe.
class Applier
{
public:
    Applier(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store, RevisionHolder &holder);

    /// Blocks for at most about ten store timeouts.
    ApplyOutcome apply(const ApplyRequest &request);

private:
    /// The revision in the store and the object version that holds it. A version of 0 means that there is no object yet.
    struct Base {
        uint64_t version = 0;
        LibSettings::Revision revision;
    };

    absl::StatusOr<Base> readBase();
    /// The outcome of the request if `base` already determines it: its audit trail contains the change id, or its revision is not the expected one.
    /// Otherwise nothing.
    std::optional<ApplyOutcome> outcomeFrom(const Base &base, const ApplyRequest &request) const;
    absl::StatusOr<std::string> makeRevision(const Base &base, const ApplyRequest &request);
    absl::StatusOr<uint64_t> write(const Base &base, const std::string &value);
    ApplyOutcome writeAndResolve(const Base &base, const ApplyRequest &request, const std::string &value);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    RevisionHolder &holder;
};

} // namespace LibConfiguration
