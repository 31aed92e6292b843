#include "UnansweredCalls.h"

#include <algorithm>

namespace WeightAgent
{

namespace
{

// An engine that answers executes within this time what it has not executed before its caller gave up.
constexpr AK::Milliseconds lateCallTime = 2'000;
// The same for calls that were under way when another process ended. They are no slower than others, which are given up after this time.
constexpr AK::Milliseconds interruptedCallTime = 800;

} // namespace

bool mayStillRun(const UnansweredCall &call, const EngineContact &contact, AK::Milliseconds now)
{
    const bool engineRestarted = call.engineStart != 0 && contact.startTime != 0 && contact.startTime != call.engineStart;
    const bool overtaken = call.expectedSequence && contact.commandSequence > *call.expectedSequence;
    if (engineRestarted || overtaken) {
        return false;
    }
    const AK::Milliseconds limit = call.version ? lateCallTime : interruptedCallTime;
    return !contact.answeringSince || now - std::max(call.endedAt, *contact.answeringSince) < limit;
}

} // namespace WeightAgent
