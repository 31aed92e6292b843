#include <LibAudit/AuditTrail.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>

namespace LibAudit
{

namespace
{

nlohmann::json withoutHash(const AuditEntry &entry)
{
    return {{"sequence", entry.sequence},
            {"change_id", entry.changeId},
            {"author", entry.author},
            {"reason", entry.reason},
            {"at_ms", entry.atMs},
            {"revision_before", entry.revisionBefore},
            {"revision_after", entry.revisionAfter},
            {"digest_before", entry.digestBefore},
            {"digest_after", entry.digestAfter},
            {"previous_hash", entry.previousHash}};
}

} // namespace

std::string entryHash(const AuditEntry &entry)
{
    return AK::sha256Hex(withoutHash(entry).dump());
}

nlohmann::json entryToJson(const AuditEntry &entry)
{
    nlohmann::json json = withoutHash(entry);
    json["hash"] = entry.hash;
    return json;
}

absl::StatusOr<AuditEntry> entryFromJson(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return absl::DataLossError("audit entry is not a JSON object");
    }
    for (const char *field : {"change_id", "author", "reason", "digest_before", "digest_after", "previous_hash", "hash"}) {
        if (!json.contains(field) || !json[field].is_string()) {
            return absl::DataLossError(AK::concat("audit entry: /", field, " is not a string"));
        }
    }
    for (const char *field : {"sequence", "at_ms", "revision_before", "revision_after"}) {
        if (!json.contains(field) || !json[field].is_number_integer()) {
            return absl::DataLossError(AK::concat("audit entry: /", field, " is not an integer"));
        }
    }
    return AuditEntry{json["sequence"],       json["change_id"],     json["author"],       json["reason"],        json["at_ms"], json["revision_before"],
                      json["revision_after"], json["digest_before"], json["digest_after"], json["previous_hash"], json["hash"]};
}

absl::Status appendEntry(nlohmann::json &trail, AuditEntry entry)
{
    entry.sequence = 1;
    entry.previousHash.clear();
    if (!trail.empty()) {
        CATKINLINK_ASSIGN(const AuditEntry previous, entryFromJson(trail.back()));
        entry.sequence = previous.sequence + 1;
        entry.previousHash = previous.hash;
    }
    entry.hash = entryHash(entry);
    trail.push_back(entryToJson(entry));
    return absl::OkStatus();
}

std::optional<AuditEntry> findChange(const nlohmann::json &trail, const std::string &changeId)
{
    for (const nlohmann::json &json : trail) {
        absl::StatusOr<AuditEntry> entry = entryFromJson(json);
        if (entry.ok() && entry->changeId == changeId) {
            return *std::move(entry);
        }
    }
    return std::nullopt;
}

std::optional<AuditEntry> lastEntry(const nlohmann::json &trail)
{
    if (trail.empty()) {
        return std::nullopt;
    }
    absl::StatusOr<AuditEntry> entry = entryFromJson(trail.back());
    return entry.ok() ? std::optional(*std::move(entry)) : std::nullopt;
}

absl::Status verifyTrail(const nlohmann::json &trail, bool fromStart)
{
    std::optional<AuditEntry> previous;
    for (const nlohmann::json &json : trail) {
        CATKINLINK_ASSIGN(AuditEntry entry, entryFromJson(json));
        if (entryHash(entry) != entry.hash) {
            return absl::DataLossError(AK::concat("audit entry ", entry.sequence, ": /hash does not match the entry"));
        }
        if (previous && (entry.sequence != previous->sequence + 1 || entry.previousHash != previous->hash)) {
            return absl::DataLossError(AK::concat("audit entry ", entry.sequence, " does not follow entry ", previous->sequence));
        }
        if (previous && (entry.revisionBefore != previous->revisionAfter || entry.digestBefore != previous->digestAfter)) {
            return absl::DataLossError(
                AK::concat("audit entry ", entry.sequence, " does not start from the revision that entry ", previous->sequence, " made"));
        }
        if (!previous && fromStart && (entry.sequence != 1 || !entry.previousHash.empty())) {
            return absl::DataLossError(AK::concat("audit trail starts with entry ", entry.sequence, " instead of 1"));
        }
        previous = std::move(entry);
    }
    return absl::OkStatus();
}

} // namespace LibAudit
