#include "SilentCall.h"

#include <algorithm>

namespace Gateway
{

SilentCall::SilentCall(LibFiber::Loop &loop, SilentCall *outer)
    : loop(loop)
    , outer(outer)
    , whenReplaced(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->replacedSignal = kj::mv(paf.fulfiller);
    this->whenReplaced = paf.promise.fork();
}

SilentCall *SilentCall::outerCall() const
{
    return this->outer;
}

void SilentCall::replace()
{
    for (SilentCall *call = this; call != nullptr; call = call->outer) {
        call->replaced = true;
        call->replacedSignal->fulfill();
    }
}

SilentCall::End SilentCall::await(kj::WaitScope &scope, UpstreamCall &call, const Probe &probe, const std::function<void()> &giveUp, kj::Promise<void> others,
                                  const Limits &limits)
{
    kj::ForkedPromise<void> ended = others.then([this] { this->othersEnded = true; }).fork();
    Sign sign = Sign::None;
    while (true) {
        const bool mayAnswer = sign != Sign::Failure;
        kj::Promise<void> signOfUpstream = mayAnswer ? call.whenReadable() : kj::Promise<void>(kj::NEVER_DONE);
        const AK::Milliseconds until = mayAnswer ? std::min(limits.deadline, limits.beginBy()) : limits.deadline;
        signOfUpstream.exclusiveJoin(ended.addBranch())
            .exclusiveJoin(this->whenReplaced.addBranch())
            .exclusiveJoin(this->loop.after(until - this->loop.clock().now()))
            .wait(scope);
        if (!this->replaced && mayAnswer) {
            sign = probe();
            if (sign == Sign::None && this->loop.clock().now() >= limits.beginBy()) {
                call.close();
                sign = Sign::Failure;
            }
        }
        // The probe suspends this fiber, so another upstream may have answered meanwhile.
        if (this->replaced) {
            giveUp();
            ended.addBranch().wait(scope);
            return End::Replaced;
        }
        if (sign == Sign::Answer) {
            return End::Spoke;
        }
        if (this->othersEnded) {
            return End::OthersFailed;
        }
        if (this->loop.clock().now() >= limits.deadline) {
            return End::DeadlinePassed;
        }
    }
}

} // namespace Gateway
