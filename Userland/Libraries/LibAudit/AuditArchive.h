#pragma once

#include <LibObjectStore/ObjectStore.h>
#include <nlohmann/json.hpp>
#include <string>

namespace LibAudit
{

/// Number of entries in one archive object, and the least number that archiving leaves in the configuration object.
inline constexpr size_t archiveBatchSize = 64;

/// Moves the oldest batch of a trail of at least two batches to the object `audit/<site>-<first sequence>`. The batch is removed from `trail` only when the
/// store holds it. Two processes may archive the same batch, with the same content. Errors: those of the store; kDataLoss when the object exists with
/// different content.
absl::Status archiveOldest(LibObjectStore::ObjectStore &store, const std::string &site, nlohmann::json &trail, AK::Milliseconds timeout);

/// All archived entries of a site, oldest first. Errors: those of the store; kDataLoss when a batch is malformed.
absl::StatusOr<nlohmann::json> readArchive(LibObjectStore::ObjectStore &store, const std::string &site, AK::Milliseconds timeout);

/// Archived entries followed by the entries of `tail` that are not archived.
nlohmann::json joinTrails(nlohmann::json archived, const nlohmann::json &tail);

} // namespace LibAudit
