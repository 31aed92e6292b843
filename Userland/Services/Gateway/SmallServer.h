#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <functional>

namespace Gateway
{

struct SmallAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Serves short answers that are ready at once: readiness, addresses, metrics.
class SmallServer
{
public:
    using Handler = std::function<SmallAnswer(const LibHttpStream::RequestHead &)>;

    SmallServer(LibFiber::Loop &loop, AK::Endpoint address, Handler handler);

    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

private:
    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);

    LibFiber::Loop &loop;
    AK::Endpoint address;
    Handler handler;
};

} // namespace Gateway
