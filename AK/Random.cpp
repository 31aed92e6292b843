#include <AK/Random.h>

namespace AK
{

Random seededFromSystem()
{
    std::random_device device;
    return Random((static_cast<uint64_t>(device()) << 32) | device());
}

std::string randomHex(Random &random, int digits)
{
    std::string hex;
    for (int i = 0; i < digits; ++i) {
        hex += "0123456789abcdef"[random() & 15];
    }
    return hex;
}

uint64_t uniformBelow(Random &random, uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
}

} // namespace AK
