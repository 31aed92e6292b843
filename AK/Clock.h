#pragma once

#include <cstdint>

namespace AK
{

/// A point in time or a span, in milliseconds.
using Milliseconds = int64_t;

/// Source of time. Policies take a time as an argument; services take a Clock in their constructor.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time in milliseconds since an arbitrary start. It may stand still while the host is suspended.
    virtual Milliseconds now() const = 0;

    /// Monotonic time in milliseconds since an arbitrary start, not that of now(). It goes on while the host is suspended, so it is the one for the age of what
    /// was seen of others. A clock that no suspension stops returns now().
    virtual Milliseconds uninterruptedTime() const
    {
        return this->now();
    }

    /// Wall time in milliseconds since the Unix epoch.
    virtual Milliseconds wallTime() const = 0;

    /// Blocks the calling thread.
    virtual void sleep(Milliseconds duration) const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    Milliseconds now() const override;
    Milliseconds uninterruptedTime() const override;
    Milliseconds wallTime() const override;
    void sleep(Milliseconds duration) const override;
};

} // namespace AK
