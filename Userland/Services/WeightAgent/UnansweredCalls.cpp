#include "UnansweredCalls.h"

#include <algorithm>

namespace WeightAgent
{

namespace
{

// An engine that answers executes what it received before within this time.
constexpr AK::Milliseconds lateCallTime = 2'000;

} // namespace

bool mayStillRun(const UnansweredCall &call, const EngineContact &contact, AK::Milliseconds now)
{
    const bool engineRestarted = call.engineStart != 0 && contact.startTime != 0 && contact.startTime != call.engineStart;
    const bool overtaken = call.expectedSequence && contact.commandSequence > *call.expectedSequence;
    if (engineRestarted || overtaken) {
        return false;
    }
    return !contact.answeringSince || now - std::max(call.endedAt, *contact.answeringSince) < lateCallTime;
}

} // namespace WeightAgent
