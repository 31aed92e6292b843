#include <LibSettings/Revision.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/JsonFile.h>

namespace LibSettings
{

std::string documentDigest(const nlohmann::json &document)
{
    return AK::sha256Hex(document.dump());
}

std::string serializeRevision(const Revision &revision)
{
    return nlohmann::json{{"revision", revision.number},
                          {"change_id", revision.changeId},
                          {"digest", revision.digest},
                          {"document", revision.document},
                          {"audit", revision.audit}}
        .dump();
}

absl::StatusOr<Revision> parseRevision(const std::string &text)
{
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJson(text, "revision"));
    const auto hasField = [&json](const char *key, nlohmann::json::value_t type) {
        return json.contains(key) && json[key].type() == type;
    };
    const bool isWellFormed = json.is_object() && hasField("revision", nlohmann::json::value_t::number_unsigned)
        && hasField("change_id", nlohmann::json::value_t::string) && hasField("digest", nlohmann::json::value_t::string)
        && hasField("document", nlohmann::json::value_t::object) && hasField("audit", nlohmann::json::value_t::array);
    if (!isWellFormed) {
        return absl::InvalidArgumentError("revision: needs /revision, /change_id, /digest, /document and /audit");
    }
    Revision revision{json["revision"], json["change_id"], json["digest"], json["document"], json["audit"]};
    const std::string digest = documentDigest(revision.document);
    if (digest != revision.digest) {
        return absl::InvalidArgumentError(AK::concat("revision ", revision.number, ": /digest is ", revision.digest, ", the document has ", digest));
    }
    return revision;
}

} // namespace LibSettings
