#include "SimpleHttpServer.h"

#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>

namespace Gateway
{

namespace
{

constexpr AK::Milliseconds idleTimeout = 30'000;
constexpr AK::Milliseconds writeTimeout = 2'000;
constexpr size_t maxHeadBytes = 8192;
constexpr uint64_t maxBodyBytes = 65536;

} // namespace

SimpleHttpServer::SimpleHttpServer(LibFiber::Loop &loop, AK::Endpoint address, Handler handler)
    : loop(loop)
    , address(std::move(address))
    , handler(std::move(handler))
{
}

absl::Status SimpleHttpServer::start()
{
    auto receiver = LibFiber::listenOn(this->loop, this->address);
    if (!receiver.ok()) {
        return receiver.status();
    }
    LibFiber::acceptEach(this->loop, kj::mv(*receiver),
                         [this](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) { this->serve(scope, kj::mv(stream)); });
    return absl::OkStatus();
}

void SimpleHttpServer::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream)
{
    LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
    while (true) {
        const AK::Milliseconds deadline = this->loop.clock().now() + idleTimeout;
        const absl::StatusOr<std::string> text = LibHttpStream::readHeadText(channel, scope, maxHeadBytes, deadline);
        if (!text.ok()) {
            return;
        }
        const absl::StatusOr<LibHttpStream::RequestHead> head = LibHttpStream::parseRequestHead(*text);
        if (!head.ok()) {
            return;
        }
        const absl::StatusOr<LibHttpStream::BodyFraming> framing = LibHttpStream::requestBodyFraming(head->headers);
        if (!framing.ok()) {
            return;
        }
        LibHttpStream::BodyReader reader(channel, *framing);
        if (!LibHttpStream::readBody(reader, scope, maxBodyBytes, deadline).ok()) {
            return;
        }
        const SimpleHttpResponse response = this->handler(*head);
        const bool close = LibHttpStream::hasToken(head->headers, "Connection", "close");
        LibHttpStream::ResponseHead responseHead{response.status, std::string(LibHttpStream::reasonPhrase(response.status)), {}};
        responseHead.headers.push_back({"Content-Type", response.contentType});
        responseHead.headers.push_back({"Content-Length", std::to_string(response.body.size())});
        if (close) {
            responseHead.headers.push_back({"Connection", "close"});
        }
        const std::string message = LibHttpStream::serializeResponseHead(responseHead) + response.body;
        if (!channel.write(scope, message, this->loop.clock().now() + writeTimeout).ok() || close) {
            return;
        }
    }
}

} // namespace Gateway
