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
    const auto has = [&json](const char *key, nlohmann::json::value_t type) {
        return json.contains(key) && json[key].type() == type;
    };
    const bool wellFormed = json.is_object() && has("revision", nlohmann::json::value_t::number_unsigned) && has("change_id", nlohmann::json::value_t::string)
        && has("digest", nlohmann::json::value_t::string) && has("document", nlohmann::json::value_t::object) && has("audit", nlohmann::json::value_t::array);
    if (!wellFormed) {
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
