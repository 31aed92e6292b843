#pragma once

#include <LibSettings/SiteDocument.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace LibSettings
{

/// One accepted version of the configuration. Its serialized form is the value of the object `config/<site>` and is passed unchanged between processes.
struct Revision {
    uint64_t number = 0;
    /// Chosen by the operator's command; it shows whether the change took effect when the response to the write was lost.
    std::string changeId;
    /// SHA-256 of the serialized document, in hex.
    std::string digest;
    nlohmann::json document;
    /// Newest entries of the audit trail; the last one describes this change.
    nlohmann::json audit = nlohmann::json::array();
};

/// Computes the digest of a document that Revision::digest holds.
std::string documentDigest(const nlohmann::json &document);

std::string serializeRevision(const Revision &revision);

/// Parses a serialized revision from a peer or the store. Errors: kInvalidArgument when a field is missing or malformed, the text is too large, or the digest
/// does not match.
absl::StatusOr<Revision> parseRevision(const std::string &text);

} // namespace LibSettings
