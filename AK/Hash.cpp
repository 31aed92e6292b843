#include <AK/Hash.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace AK
{

namespace
{

std::string toHex(const unsigned char *bytes, size_t size)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (size_t i = 0; i < size; ++i) {
        hex += digits[bytes[i] >> 4];
        hex += digits[bytes[i] & 15];
    }
    return hex;
}

// Finalizer of SplitMix64: spreads every input bit over the whole word.
uint64_t mixBits(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

uint64_t stableHash(std::string_view data)
{
    // FNV-1a, then mixed because its high bits are weak on short strings.
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char byte : data) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    return mixBits(hash);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return mixBits(stableHash(key) ^ (stableHash(member) * 0x9e3779b97f4a7c15ULL));
}

} // namespace AK
