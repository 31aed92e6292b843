#pragma once

#include <AK/Clock.h>
#include <string>
#include <vector>

namespace LibGateway
{

/// A call that broke off when its upstream crashed and that may be the cause: its response had hardly begun.
struct CrashSuspect {
    /// Hash of the last part of the prompt: a call and its repetitions have the same.
    uint64_t prompt = 0;
    /// Monotonic time at which the call was sent to the upstream.
    AK::Milliseconds sentAt = 0;
    /// Parts of the prompt that other calls may share, in order.
    std::vector<std::string> parts;
};

/// The crash of an upstream as one entry saw it.
struct Crash {
    /// Id of the upstream instance.
    std::string upstream;
    /// Monotonic time.
    AK::Milliseconds crashedAt = 0;
    /// Calls of the entry.
    std::vector<CrashSuspect> suspects;
};

} // namespace LibGateway
