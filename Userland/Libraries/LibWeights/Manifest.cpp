#include <LibWeights/Manifest.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpMessage.h>
#include <LibJson/BoundedJson.h>
#include <algorithm>
#include <set>

namespace LibWeights
{

namespace
{

// A manifest is sent in one RPC message, which may have at most 16 MiB.
constexpr LibJson::JsonLimits textLimits{size_t{8} << 20, 16, 200'000};
constexpr size_t maxFiles = 4096;
constexpr size_t maxChunks = 100'000;
// A chunk is sent in one RPC message.
constexpr uint64_t maxChunkBytes = uint64_t{4} << 20;
constexpr size_t maxNameBytes = 200;

absl::Status invalid(const std::string &path, const std::string &problem)
{
    return absl::InvalidArgumentError(AK::concat("manifest ", path, ": ", problem));
}

// Names are part of the canonical text and of paths, so control characters and path separators are refused.
absl::StatusOr<std::string> readName(const nlohmann::json &object, const std::string &key, const std::string &path)
{
    const auto field = object.find(key);
    if (field == object.end() || !field->is_string()) {
        return invalid(path + key, "must be a string");
    }
    std::string name = field->get<std::string>();
    const bool plain = std::all_of(name.begin(), name.end(), [](unsigned char byte) { return byte > ' ' && byte < 0x7f && byte != '/'; });
    if (name.empty() || name.size() > maxNameBytes || !plain || name == "." || name == "..") {
        return invalid(path + key, AK::concat("must be 1 to ", maxNameBytes, " printable characters without '/'"));
    }
    return name;
}

absl::StatusOr<uint64_t> readSize(const nlohmann::json &object, const std::string &key, const std::string &path, uint64_t limit)
{
    const auto field = object.find(key);
    if (field == object.end() || !field->is_number_unsigned()) {
        return invalid(path + key, "must be an unsigned integer");
    }
    const auto value = field->get<uint64_t>();
    if (value == 0 || value > limit) {
        return invalid(path + key, AK::concat(value, " is outside 1 to ", limit));
    }
    return value;
}

bool isHash(const nlohmann::json &value)
{
    const auto *text = value.get_ptr<const std::string *>();
    return text != nullptr && text->size() == 64
        && std::all_of(text->begin(), text->end(), [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

absl::StatusOr<ManifestFile> readFile(const nlohmann::json &json, uint64_t chunkBytes, const std::string &path)
{
    if (!json.is_object()) {
        return invalid(path, "must be an object");
    }
    ManifestFile file;
    CATKINLINK_ASSIGN(file.name, readName(json, "name", path));
    CATKINLINK_ASSIGN(file.bytes, readSize(json, "bytes", path, chunkBytes * maxChunks));
    const auto chunks = json.find("chunks");
    const uint64_t expected = (file.bytes + chunkBytes - 1) / chunkBytes;
    if (chunks == json.end() || !chunks->is_array() || chunks->size() != expected) {
        return invalid(path + "chunks", AK::concat("must be an array of ", expected, " hashes"));
    }
    for (const auto &chunk : *chunks) {
        if (!isHash(chunk)) {
            return invalid(AK::concat(path, "chunks/", file.chunks.size()), "must be 64 lower-case hex digits");
        }
        file.chunks.push_back(chunk.get<std::string>());
    }
    return file;
}

} // namespace

std::vector<ChunkReference> Manifest::chunks() const
{
    std::vector<ChunkReference> all;
    for (uint32_t number = 0; number < this->files.size(); ++number) {
        const ManifestFile &file = this->files[number];
        for (size_t i = 0; i < file.chunks.size(); ++i) {
            const uint64_t offset = i * uint64_t{this->chunkBytes};
            all.push_back({file.chunks[i], number, offset, static_cast<uint32_t>(std::min<uint64_t>(this->chunkBytes, file.bytes - offset))});
        }
    }
    return all;
}

uint64_t Manifest::totalBytes() const
{
    uint64_t total = 0;
    for (const ManifestFile &file : this->files) {
        total += file.bytes;
    }
    return total;
}

std::string canonicalText(const Manifest &manifest)
{
    std::string text = AK::concat("catkinlink-weights-1\n", manifest.model, "\n", manifest.adapter, "\n", manifest.version, "\n", manifest.chunkBytes, "\n");
    for (const ManifestFile &file : manifest.files) {
        text += AK::concat("file ", file.name, " ", file.bytes, "\n");
        for (const std::string &hash : file.chunks) {
            text += hash + "\n";
        }
    }
    return text;
}

std::string rootOf(const Manifest &manifest)
{
    return AK::sha256Hex(canonicalText(manifest));
}

std::string serializeManifest(const Manifest &manifest)
{
    nlohmann::json files = nlohmann::json::array();
    for (const ManifestFile &file : manifest.files) {
        files.push_back({{"name", file.name}, {"bytes", file.bytes}, {"chunks", file.chunks}});
    }
    return nlohmann::json{{"model", manifest.model},
                          {"adapter", manifest.adapter},
                          {"version", manifest.version},
                          {"chunk_bytes", manifest.chunkBytes},
                          {"files", std::move(files)}}
        .dump();
}

absl::StatusOr<Manifest> parseManifest(std::string_view text)
{
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(text, textLimits);
    if (!parsed.ok()) {
        return invalid("/", std::string(parsed.status().message()));
    }
    const nlohmann::json &json = *parsed;
    Manifest manifest;
    CATKINLINK_ASSIGN(manifest.model, readName(json, "model", "/"));
    CATKINLINK_ASSIGN(manifest.adapter, readName(json, "adapter", "/"));
    CATKINLINK_ASSIGN(manifest.version, readName(json, "version", "/"));
    CATKINLINK_ASSIGN(manifest.chunkBytes, readSize(json, "chunk_bytes", "/", maxChunkBytes));
    const auto files = json.find("files");
    if (files == json.end() || !files->is_array() || files->empty() || files->size() > maxFiles) {
        return invalid("/files", AK::concat("must be an array of 1 to ", maxFiles, " files"));
    }
    std::set<std::string> names;
    size_t chunks = 0;
    for (const auto &entry : *files) {
        const std::string path = AK::concat("/files/", manifest.files.size(), "/");
        CATKINLINK_ASSIGN(ManifestFile file, readFile(entry, manifest.chunkBytes, path));
        if (!names.insert(file.name).second) {
            return invalid(path + "name", AK::concat("\"", file.name, "\" is listed twice"));
        }
        chunks += file.chunks.size();
        if (chunks > maxChunks) {
            return invalid(path + "chunks", AK::concat("the manifest has more than ", maxChunks, " chunks"));
        }
        manifest.files.push_back(std::move(file));
    }
    return manifest;
}

std::string weightsPath(std::string_view model, std::string_view adapter, std::string_view version)
{
    return AK::concat("/weights/", LibHttp::urlEncode(model), "/", LibHttp::urlEncode(adapter), "/", LibHttp::urlEncode(version));
}

} // namespace LibWeights
