#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <functional>

namespace Gateway
{

struct SimpleHttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Serves short responses that a handler returns without waiting: readiness, addresses, metrics. Request bodies are ignored.
class SimpleHttpServer
{
public:
    using Handler = std::function<SimpleHttpResponse(const LibHttpStream::RequestHead &)>;

    SimpleHttpServer(LibFiber::Loop &loop, AK::Endpoint address, Handler handler);

    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

private:
    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);

    LibFiber::Loop &loop;
    AK::Endpoint address;
    Handler handler;
};

} // namespace Gateway
