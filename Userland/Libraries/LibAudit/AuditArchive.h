#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <nlohmann/json.hpp>
#include <string>

namespace LibAudit
{

/// Entries that the configuration object keeps at least, and entries of one archive object.
inline constexpr size_t archiveBatchSize = 64;

/// Moves the oldest batch of a trail that has two batches or more to `audit/<site>-<first sequence>`. The batch leaves `trail` only when the store holds it.
/// Two processes may archive the same batch; its content is the same. Errors: those of the store; kDataLoss when another content is stored under the name.
absl::Status archiveOldest(LibObjectStore::ObjectStore &store, const std::string &site, nlohmann::json &trail, AK::Milliseconds timeout);

/// All archived entries of a site, oldest first. Errors: those of the store; kDataLoss when a batch is malformed.
absl::StatusOr<nlohmann::json> readArchive(LibObjectStore::ObjectStore &store, const std::string &site, AK::Milliseconds timeout);

/// Archived entries followed by those of `tail` that are not archived.
nlohmann::json joinTrails(nlohmann::json archived, const nlohmann::json &tail);

} // namespace LibAudit
