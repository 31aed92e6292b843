#include <LibGateway/DrainPlan.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Clients keep addresses for a second, and some for three.
constexpr AK::Milliseconds maxAcceptTime = 2'500;
constexpr AK::Milliseconds maxIdleTime = 3'500;
// Shares of the time until all calls are answered; the rest is left for calls that were accepted last.
constexpr double acceptShare = 0.36;
constexpr double idleShare = 0.5;
// For the exit of the process, and for clients to read the last answers; at most these shares of the grace period.
constexpr AK::Milliseconds maxExitTime = 700;
constexpr AK::Milliseconds maxReadTime = 400;
constexpr double exitShare = 0.125;
constexpr double readShare = 0.1;

AK::Milliseconds shareOf(AK::Milliseconds time, double share)
{
    return static_cast<AK::Milliseconds>(share * static_cast<double>(time));
}

} // namespace

DrainPlan planDrain(AK::Milliseconds gracePeriod)
{
    DrainPlan plan;
    plan.endAt = gracePeriod - std::min(maxExitTime, shareOf(gracePeriod, exitShare));
    plan.answerAt = plan.endAt - std::min(maxReadTime, shareOf(gracePeriod, readShare));
    plan.acceptUntil = std::min(maxAcceptTime, shareOf(plan.answerAt, acceptShare));
    plan.closeIdleAt = std::min(maxIdleTime, shareOf(plan.answerAt, idleShare));
    return plan;
}

} // namespace LibGateway
