#include "RolloutSize.h"

#include <algorithm>

namespace
{

constexpr double originCopiesPerWindow = 4;
constexpr double hostCopiesPerWindow = 2;

} // namespace

double RolloutSize::hostRate() const
{
    return hostCopiesPerWindow * static_cast<double>(this->weightBytes) / this->windowSeconds;
}

double RolloutSize::originRate() const
{
    return originCopiesPerWindow * static_cast<double>(this->weightBytes) / this->windowSeconds;
}

double RolloutSize::boundSeconds() const
{
    const double copies = this->hosts;
    const auto size = static_cast<double>(this->weightBytes);
    return std::max(size / this->hostRate(), copies * size / (this->originRate() + copies * this->hostRate()));
}

RolloutSize rolloutSizeFromFlags(const MeasureContext &context, int hosts)
{
    RolloutSize size;
    size.hosts = hosts;
    size.weightBytes = int64_t{context.flags.number("kib", 4096)} << 10;
    size.chunkBytes = int64_t{context.flags.number("chunk-kib", 32)} << 10;
    size.windowSeconds = context.flags.number("window", 20);
    return size;
}

double binaryTreeTimeOverBound(const RolloutSize &size)
{
    const auto chunks = static_cast<int>((size.weightBytes + size.chunkBytes - 1) / size.chunkBytes);
    const double hostChunkSeconds = static_cast<double>(size.chunkBytes) / size.hostRate();
    std::vector<std::vector<double>> arrival(static_cast<size_t>(size.hosts), std::vector<double>(static_cast<size_t>(chunks)));
    std::vector<double> linkFreeAt(static_cast<size_t>(size.hosts), 0);
    double lastArrival = 0;
    for (int chunk = 0; chunk < chunks; ++chunk) {
        for (int host = 0; host < size.hosts; ++host) {
            const auto index = static_cast<size_t>(host);
            const auto column = static_cast<size_t>(chunk);
            if (host == 0) {
                arrival[index][column] = (chunk + 1) * hostChunkSeconds;
                continue;
            }
            const auto parent = static_cast<size_t>((host - 1) / 2);
            linkFreeAt[parent] = std::max(linkFreeAt[parent], arrival[parent][column]) + hostChunkSeconds;
            arrival[index][column] = linkFreeAt[parent];
            lastArrival = std::max(lastArrival, arrival[index][column]);
        }
    }
    return lastArrival / size.boundSeconds();
}
