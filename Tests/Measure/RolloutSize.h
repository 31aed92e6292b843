#pragma once

#include "Measurement.h"

/// Size of the weights, number of hosts and speed of the links in a rollout.
struct RolloutSize {
    int hosts = 12;
    int64_t weightBytes = 4 << 20;
    int64_t chunkBytes = 64 << 10;
    /// Time in which the origin can send four copies of the weights and a host two.
    double windowSeconds = 20;

    /// Bandwidth of the link of a host and of the origin in bytes per second.
    double hostRate() const;
    double originRate() const;
    /// Lower bound on the time of a rollout: the larger of the time to receive one copy over the link of a host and the time to send all
    /// copies over the links of the origin and of all hosts.
    double boundSeconds() const;
};

/// Reads the sizes from the flags --kib, --chunk-kib and --window.
RolloutSize rolloutSizeFromFlags(const MeasureContext &context, int hosts);

/// Calculated time of a distribution over a fixed binary tree, divided by the lower bound. Hosts forward chunk by chunk; a parent sends each chunk to one child
/// after the other.
double binaryTreeTimeOverBound(const RolloutSize &size);
