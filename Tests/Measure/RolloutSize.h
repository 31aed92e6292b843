#pragma once

#include "Measurement.h"

/// How much goes to how many hosts, and how fast their links are.
struct RolloutSize {
    int hosts = 12;
    int64_t weightBytes = 4 << 20;
    int64_t chunkBytes = 64 << 10;
    double windowSeconds = 20;

    /// Bytes a second over the link of a host, and of the origin.
    double hostRate() const;
    double originRate() const;
    /// The largest of one copy over a host's link and all copies over all links that can send.
    double boundSeconds() const;
};

/// Reads the flags of a measurement of rollouts.
RolloutSize sizeFromFlags(const MeasureContext &context, int hosts);

/// Time over the bound of a fixed binary tree that forwards chunk by chunk, calculated from the link rates: a parent sends each chunk to its two children in
/// turn.
double binaryTreeOverBound(const RolloutSize &size);
