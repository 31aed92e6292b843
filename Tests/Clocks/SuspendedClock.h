#pragma once

#include <AK/Clock.h>

/// The clocks of a host that was suspended for a part of the time.
class SuspendedClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->running;
    }
    AK::Milliseconds uninterruptedTime() const override
    {
        return this->running + this->suspended;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->uninterruptedTime();
    }
    void sleep(AK::Milliseconds /*duration*/) const override
    {
    }

    AK::Milliseconds running = 500;
    AK::Milliseconds suspended = 0;
};
