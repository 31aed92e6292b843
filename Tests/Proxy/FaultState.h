#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <absl/status/statusor.h>
#include <condition_variable>
#include <mutex>
#include <string>

/// What the proxy does to bytes, in each direction of each connection, once `afterBytes` have passed in that direction since the fault was set.
enum class FaultMode {
    Pass,
    /// Every block of up to 64 KiB waits for `delayMs`.
    Delay,
    /// The connection is closed on both sides; with `afterBytes` 0 at once, and new ones as they arrive.
    Cut,
    /// Bytes are held back until the fault changes; the sender's buffers fill.
    Stall,
    /// Bytes are swallowed and a close is not passed on, as if the peer had vanished.
    HalfOpen,
    /// One bit of the first byte of each block from the target is flipped.
    Corrupt,
};

inline constexpr std::array faultModeNames{
    AK::EnumName{FaultMode::Pass, "pass"},   AK::EnumName{FaultMode::Delay, "delay"},        AK::EnumName{FaultMode::Cut, "cut"},
    AK::EnumName{FaultMode::Stall, "stall"}, AK::EnumName{FaultMode::HalfOpen, "half_open"}, AK::EnumName{FaultMode::Corrupt, "corrupt"},
};

struct Fault {
    FaultMode mode = FaultMode::Pass;
    AK::Milliseconds delayMs = 0;
    size_t afterBytes = 0;
    /// Grows with each change.
    uint64_t generation = 0;
};

/// Reads `{mode, delay_ms, after_bytes}`. Errors: kInvalidArgument with the field.
absl::StatusOr<Fault> parseFault(const std::string &text);

/// The fault in force. Thread-safe.
class FaultState
{
public:
    Fault current() const;
    void set(Fault fault);

    /// Waits until the fault differs from the generation or end() was called, or for `limit` ms when it is not negative.
    void awaitChange(uint64_t generation, AK::Milliseconds limit = -1) const;

    /// Lets all waits return from now on.
    void end();

private:
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    Fault fault;
    bool ended = false;
};
