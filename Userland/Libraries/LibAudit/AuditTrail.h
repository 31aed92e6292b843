#pragma once

#include <AK/Clock.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace LibAudit
{

/// One accepted change of the configuration.
struct AuditEntry {
    uint64_t sequence = 0;
    std::string changeId;
    std::string author;
    std::string reason;
    /// Wall time in milliseconds.
    AK::Milliseconds atMs = 0;
    uint64_t revisionBefore = 0;
    uint64_t revisionAfter = 0;
    std::string digestBefore;
    std::string digestAfter;
    std::string previousHash;
    /// SHA-256 of the canonical JSON dump of the entry without this field.
    std::string hash;
};

/// SHA-256 of all other fields of an entry.
std::string entryHash(const AuditEntry &entry);

nlohmann::json entryToJson(const AuditEntry &entry);

/// Errors: kDataLoss naming the missing or malformed field.
absl::StatusOr<AuditEntry> entryFromJson(const nlohmann::json &json);

/// Sets sequence, previousHash and hash of a new entry and appends it. Errors: kDataLoss when the last entry of the trail is malformed.
absl::Status appendEntry(nlohmann::json &trail, AuditEntry entry);

/// The entry of a change, or nothing. Malformed entries are skipped.
std::optional<AuditEntry> findChange(const nlohmann::json &trail, const std::string &changeId);

/// The newest entry, or nothing when the trail is empty or the entry is malformed.
std::optional<AuditEntry> lastEntry(const nlohmann::json &trail);

/// Checks every hash, that each entry follows the one before, and that the trail starts with sequence 1 when `fromStart` is set.
/// Errors: kDataLoss naming the first entry that fails a check.
absl::Status verifyTrail(const nlohmann::json &trail, bool fromStart);

} // namespace LibAudit
