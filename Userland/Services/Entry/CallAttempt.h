#pragma once

#include <LibRouting/Candidates.h>
#include <LibWire/RpcConnection.h>
#include <Services/Entry/CallerAnswer.h>
#include <Services/Entry/EntryCall.h>

namespace Entry
{

/// How one attempt at one upstream ended.
struct AttemptResult {
    enum class Kind {
        /// The whole answer is in the CallerAnswer.
        Complete,
        /// Provably not started.
        Refused,
        /// May have started.
        Failed,
    };
    Kind kind = Kind::Failed;
    LibRouting::Refusal reason = LibRouting::Refusal::None;
    std::string message;
    AK::Milliseconds retryAfterMs = 0;
    std::optional<LibRouting::LoadHint> load;
    /// No connection to the agent could be made.
    bool unreachable = false;
};

/// Sends a call to an agent over a connection of its own and takes the answer on the calling thread. Returns by the call's deadline.
AttemptResult attemptCall(const EntryCall &call, const LibRouting::Candidate &candidate, bool queueAllowed, const LibWire::RpcIdentity &identity,
                          const AK::Clock &clock, AK::Milliseconds connectTimeout, CallerAnswer &answer);

} // namespace Entry
