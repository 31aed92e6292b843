#pragma once

#include <cstdint>
#include <log4cxx/appenderskeleton.h>
#include <string>

namespace LibLog
{

/// Writes lines to the standard output without ever waiting for its reader. What does not fit is kept up to a bound; beyond it whole lines are dropped and
/// their number is written as soon as there is room.
class NonBlockingAppender final : public log4cxx::AppenderSkeleton
{
public:
    NonBlockingAppender();

    void close() override;
    bool requiresLayout() const override;

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    void flush();

    std::string pending;
    uint64_t dropped = 0;
};

} // namespace LibLog
