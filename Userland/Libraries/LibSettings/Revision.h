#pragma once

#include <LibSettings/SiteDocument.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace LibSettings
{

/// One accepted configuration. It is the value of the object `config/<site>` and travels unchanged between processes.
struct Revision {
    uint64_t number = 0;
    /// Chosen by the operator's command; shows after a lost answer whether the change took effect.
    std::string changeId;
    /// SHA-256 of the dumped document, in hex.
    std::string digest;
    nlohmann::json document;
    /// Newest entries of the audit trail; the last one tells of this change.
    nlohmann::json audit = nlohmann::json::array();
};

/// Digest of a document as it stands in Revision::digest.
std::string documentDigest(const nlohmann::json &document);

std::string serializeRevision(const Revision &revision);

/// Reads a revision from a peer or the store. Errors: kInvalidArgument when a field is missing or malformed, the text is too large, or the digest does not
/// match.
absl::StatusOr<Revision> parseRevision(const std::string &text);

} // namespace LibSettings
