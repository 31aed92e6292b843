#pragma once

#include <cstdint>
#include <log4cxx/appenderskeleton.h>
#include <string>

namespace LibLog
{

/// Writes lines to the standard output without blocking. Bytes that the reader has not taken yet are buffered up to 256 KiB; beyond that, whole lines are
/// dropped and their number is logged as soon as there is room.
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
