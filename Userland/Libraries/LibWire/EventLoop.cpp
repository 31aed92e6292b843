#include <LibWire/EventLoop.h>

#include <memory>

namespace LibWire
{

kj::AsyncIoContext &threadEventLoop()
{
    thread_local std::unique_ptr<kj::AsyncIoContext> loop;
    if (!loop) {
        loop = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
    }
    return *loop;
}

std::string describeException(const kj::Exception &exception)
{
    return exception.getDescription().cStr();
}

} // namespace LibWire
