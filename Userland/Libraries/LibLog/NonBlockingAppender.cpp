#include <LibLog/NonBlockingAppender.h>

#include <fcntl.h>
#include <unistd.h>

namespace LibLog
{

namespace
{

constexpr size_t pendingLimitBytes = 256UL * 1024;

} // namespace

NonBlockingAppender::NonBlockingAppender()
{
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void NonBlockingAppender::close()
{
    this->flush();
}

bool NonBlockingAppender::requiresLayout() const
{
    return false;
}

void NonBlockingAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &)
{
    const std::string line = event->getMessage();
    if (this->pending.size() + line.size() > pendingLimitBytes) {
        ++this->dropped;
    } else {
        if (this->dropped > 0) {
            this->pending += R"({"event":"log_lines_dropped","count":)" + std::to_string(this->dropped) + "}\n";
            this->dropped = 0;
        }
        this->pending += line;
        this->pending += '\n';
    }
    this->flush();
}

void NonBlockingAppender::flush()
{
    while (!this->pending.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, this->pending.data(), this->pending.size());
        if (written <= 0) {
            return;
        }
        this->pending.erase(0, static_cast<size_t>(written));
    }
}

} // namespace LibLog
