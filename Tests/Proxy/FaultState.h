#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <absl/status/statusor.h>
#include <condition_variable>
#include <mutex>
#include <string>

/// What the proxy does in each direction of each connection, once `afterBytes` bytes have been forwarded in that direction since the fault was set.
enum class FaultMode {
    Pass,
    /// Each block of up to 64 KiB is delayed by `delayMs`.
    Delay,
    /// The connection is closed on both sides. With `afterBytes` 0 all open connections are closed at once, and new ones when they are accepted.
    Cut,
    /// Bytes are held back until the fault changes, so that the buffers of the sender fill up.
    Stall,
    /// Bytes are discarded and a close is not forwarded, as if the peer had disappeared without closing the connection.
    HalfOpen,
    /// One bit in the first byte of each block from the target is flipped.
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
    /// Incremented by each change.
    uint64_t generation = 0;
};

/// Parses `{mode, delay_ms, after_bytes}`. Errors: kInvalidArgument naming the field.
absl::StatusOr<Fault> parseFault(const std::string &text);

/// The fault in force. Thread-safe.
class FaultState
{
public:
    Fault current() const;
    void set(Fault fault);

    /// Waits until the generation of the fault differs from `generation` or end() is called; at most `limit` ms unless that is negative.
    void waitForChange(uint64_t generation, AK::Milliseconds limit = -1) const;

    /// Ends all current and later waits.
    void end();

private:
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    Fault fault;
    bool ended = false;
};
