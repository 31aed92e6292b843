#include <LibAudit/AuditArchive.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibAudit/AuditTrail.h>
#include <LibJson/BoundedJson.h>
#include <map>

namespace LibAudit
{

namespace
{

constexpr const char *auditKind = "audit";

} // namespace

absl::Status archiveOldest(LibObjectStore::ObjectStore &store, const std::string &site, nlohmann::json &trail, AK::Milliseconds timeout)
{
    if (trail.size() < 2 * archiveBatchSize) {
        return absl::OkStatus();
    }
    const auto end = trail.begin() + archiveBatchSize;
    const nlohmann::json batch(std::vector<nlohmann::json>(trail.begin(), end));
    CATKINLINK_ASSIGN(const AuditEntry first, entryFromJson(batch.front()));
    const std::string name = AK::concat(site, "-", first.sequence);
    absl::Status created = store.create(auditKind, name, batch.dump(), timeout).status();
    if (!created.ok()) {
        // The object already exists, or the response was lost: compare what the store holds.
        const auto stored = store.get(auditKind, name, timeout);
        if (!stored.ok()) {
            return created;
        }
        const absl::StatusOr<nlohmann::json> held = LibJson::parse(stored->value);
        if (!held.ok() || *held != batch) {
            return absl::DataLossError(AK::concat("audit/", name, " holds other entries than the configuration object"));
        }
    }
    trail.erase(trail.begin(), end);
    return absl::OkStatus();
}

absl::StatusOr<nlohmann::json> readArchive(LibObjectStore::ObjectStore &store, const std::string &site, AK::Milliseconds timeout)
{
    const std::string prefix = site + "-";
    CATKINLINK_ASSIGN(const auto objects, store.list(auditKind, prefix, timeout));
    std::map<int64_t, nlohmann::json> batches;
    for (const LibObjectStore::StoredObject &object : objects) {
        // The prefix also matches the batches of a site whose name starts with "<site>-"; their names do not continue with a number alone.
        const std::optional<int64_t> first = AK::parseInteger(std::string_view(object.name).substr(prefix.size()));
        if (!first) {
            continue;
        }
        absl::StatusOr<nlohmann::json> batch = LibJson::parse(object.value);
        if (!batch.ok() || !batch->is_array()) {
            return absl::DataLossError(AK::concat("audit/", object.name, " is not a JSON array"));
        }
        batches[*first] = std::move(*batch);
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[first, batch] : batches) {
        entries.insert(entries.end(), batch.begin(), batch.end());
    }
    return entries;
}

nlohmann::json joinTrails(nlohmann::json archived, const nlohmann::json &tail)
{
    const std::optional<AuditEntry> newest = lastEntry(archived);
    for (const nlohmann::json &json : tail) {
        const absl::StatusOr<AuditEntry> entry = entryFromJson(json);
        if (!newest || !entry.ok() || entry->sequence > newest->sequence) {
            archived.push_back(json);
        }
    }
    return archived;
}

} // namespace LibAudit
