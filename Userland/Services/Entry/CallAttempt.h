#pragma once

#include <LibRouting/Candidates.h>
#include <LibWire/RpcConnection.h>
#include <Services/Entry/CallerResponse.h>
#include <Services/Entry/EntryCall.h>

namespace Entry
{

/// Result of one attempt at one upstream.
struct AttemptResult {
    enum class Kind {
        /// The CallerResponse has received the whole response.
        Complete,
        /// The call has provably not started.
        Refused,
        /// The call may have started.
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

/// Sends a call to an agent over a new connection and receives the response on the calling thread. Returns by the call's deadline.
AttemptResult attemptCall(const EntryCall &call, const LibRouting::Candidate &candidate, bool queueAllowed, const LibWire::RpcIdentity &identity,
                          const AK::Clock &clock, AK::Milliseconds connectTimeout, CallerResponse &callerResponse);

} // namespace Entry
