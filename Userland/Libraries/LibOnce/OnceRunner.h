#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <LibHttp/HttpMessage.h>
#include <functional>
#include <string>

namespace LibOnce
{

/// What the caller is told about its call.
enum class Outcome {
    /// The call ran; the response is its whole answer.
    Done,
    /// The call did not run and will not run for this request.
    NotRun,
    /// The call may have run.
    Unknown,
};

inline constexpr std::array outcomeNames{
    AK::EnumName{Outcome::Done, "done"},
    AK::EnumName{Outcome::NotRun, "not_run"},
    AK::EnumName{Outcome::Unknown, "unknown"},
};

/// A call that may not be repeated.
struct OnceRequest {
    std::string account;
    std::string service;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string body;
};

struct OnceResult {
    Outcome outcome = Outcome::Unknown;
    /// Done: the answer of the upstream, first-hand or recorded. Otherwise an error for the caller.
    LibHttp::HttpResponse response;
    /// Done only: the answer was recorded by an earlier attempt.
    bool replayed = false;
    std::string reason;
};

/// What became of a dispatch.
struct DispatchResult {
    Outcome outcome = Outcome::Unknown;
    LibHttp::HttpResponse response;
    std::string reason;
};

/// Sends the call to an upstream, at most once in effect, before the monotonic time `startBefore`; it must return NotRun when that time is over or when every
/// upstream refused. `nonce` names the claim.
using Dispatch = std::function<DispatchResult(const std::string &nonce, AK::Milliseconds startBefore)>;

/// Runs calls at most once across all entries: claims in the object API, then dispatches, then records the outcome. Thread-safe.
class OnceRunner
{
public:
    virtual ~OnceRunner() = default;

    /// Blocks until the outcome is known or the dispatch gives up.
    virtual OnceResult run(const OnceRequest &request, const Dispatch &dispatch) = 0;
};

} // namespace LibOnce
