#pragma once

#include "UpstreamCall.h"
#include <functional>

namespace Gateway
{

/// A call to an upstream that has been silent for a while, kept open while the request is tried at other upstreams. Load pattern: a sound upstream stands still
/// for a second and goes on, while the others are full or fail.
class SilentCall
{
public:
    /// What the silent upstream has sent since the last look.
    enum class Sign { None, Answer, Failure };
    using Probe = std::function<Sign()>;

    enum class End {
        /// The upstream goes on.
        Spoke,
        /// Another upstream has begun to answer.
        Replaced,
        /// No other upstream answers.
        OthersFailed,
        DeadlinePassed,
    };

    /// `outer`: the silent call beside which this one runs, or nullptr.
    SilentCall(LibFiber::Loop &loop, SilentCall *outer);

    /// Gives up this call and those around it, because the attempt beside it answers. From then on the attempt is not cancelled any more.
    void replace();
    SilentCall *outerCall() const;

    struct Limits {
        /// Monotonic time at which the client's call ends.
        AK::Milliseconds deadline = 0;
        /// Monotonic time, as known now, by which the silent upstream must show a sign; the call to it is then closed, and only the others are left.
        std::function<AK::Milliseconds()> beginBy;
    };

    /// Runs `others`, the attempts at other upstreams, until one side answers. `probe` reads what the silent upstream has sent; after Sign::Failure it is not
    /// called any more, and only the others are left. `giveUp` ends the silent call when another upstream answers; `others` then runs to its end. In all other
    /// cases `others` is cancelled.
    End await(kj::WaitScope &scope, UpstreamCall &call, const Probe &probe, const std::function<void()> &giveUp, kj::Promise<void> others,
              const Limits &limits);

private:
    LibFiber::Loop &loop;
    SilentCall *outer;
    bool replaced = false;
    bool othersEnded = false;
    kj::Own<kj::PromiseFulfiller<void>> replacedSignal;
    kj::ForkedPromise<void> whenReplaced;
};

inline constexpr std::array silenceEndNames{
    AK::EnumName{SilentCall::End::Spoke, "spoke"},
    AK::EnumName{SilentCall::End::Replaced, "replaced"},
    AK::EnumName{SilentCall::End::OthersFailed, "others_failed"},
    AK::EnumName{SilentCall::End::DeadlinePassed, "deadline_passed"},
};

} // namespace Gateway
