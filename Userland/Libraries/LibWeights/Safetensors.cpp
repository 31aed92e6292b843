#include <LibWeights/Safetensors.h>

#include <AK/Hash.h>
#include <AK/Random.h>
#include <AK/Text.h>
#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

namespace LibWeights
{

namespace
{

constexpr uint64_t fileCount = 2;
constexpr size_t lengthBytes = 8;

std::string tensorBytes(uint64_t seed, uint64_t size)
{
    std::string bytes(size, '\0');
    AK::Random random(seed);
    for (uint64_t offset = 0; offset < size; offset += sizeof(uint64_t)) {
        const uint64_t word = random();
        std::memcpy(bytes.data() + offset, &word, std::min<uint64_t>(sizeof(word), size - offset));
    }
    return bytes;
}

std::string generateFile(const GeneratedWeights &parameters, uint64_t file, uint64_t size)
{
    nlohmann::json header = nlohmann::json::object();
    std::string data;
    for (uint64_t tensor = 0; data.size() < size; ++tensor) {
        const uint64_t length = std::min<uint64_t>(parameters.chunkBytes, size - data.size());
        const std::string name = AK::concat("blocks.", file, ".layers.", tensor, ".weight");
        const std::string key = AK::concat(parameters.model, "/", parameters.adapter, "/", parameters.seed, "/", file, "/", name);
        const bool changes = AK::stableHash(key + "/changes") % 100 < static_cast<uint64_t>(parameters.changePercent);
        header[name] = {{"dtype", "U8"}, {"shape", {length}}, {"data_offsets", {data.size(), data.size() + length}}};
        data += tensorBytes(AK::stableHash(changes ? key + "/" + parameters.version : key), length);
    }
    std::string text = header.dump();
    const uint64_t used = (lengthBytes + text.size()) % parameters.chunkBytes;
    text.append(used == 0 ? 0 : parameters.chunkBytes - used, ' ');
    std::string length(lengthBytes, '\0');
    for (size_t i = 0; i < lengthBytes; ++i) {
        length[i] = static_cast<char>((text.size() >> (8 * i)) & 0xff);
    }
    return length + text + data;
}

} // namespace

std::map<std::string, std::string> generateFiles(const GeneratedWeights &parameters)
{
    std::map<std::string, std::string> files;
    for (uint64_t file = 0; file < fileCount; ++file) {
        const uint64_t size = parameters.sizeBytes / fileCount;
        files[AK::concat("model-0000", file + 1, "-of-0000", fileCount, ".safetensors")] = generateFile(parameters, file, size);
    }
    return files;
}

Manifest buildManifest(const GeneratedWeights &parameters, const std::map<std::string, std::string> &files)
{
    Manifest manifest{parameters.model, parameters.adapter, parameters.version, parameters.chunkBytes, {}};
    for (const auto &[name, bytes] : files) {
        ManifestFile file{name, bytes.size(), {}};
        for (size_t offset = 0; offset < bytes.size(); offset += parameters.chunkBytes) {
            file.chunks.push_back(AK::sha256Hex(std::string_view(bytes).substr(offset, parameters.chunkBytes)));
        }
        manifest.files.push_back(std::move(file));
    }
    return manifest;
}

} // namespace LibWeights
