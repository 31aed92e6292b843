#include "ClientChannel.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <array>
#include <cstdio>

namespace Gateway
{

namespace
{

// A client that does not read for this long is disconnected.
constexpr AK::Milliseconds writeTimeout = 4'000;

std::string formatSeconds(AK::Milliseconds duration)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%lld.%03lld", static_cast<long long>(duration / 1000), static_cast<long long>(duration % 1000));
    return {text.data(), static_cast<size_t>(size)};
}

} // namespace

ClientChannel::ClientChannel(LibFiber::Loop &loop, LibFiber::ByteChannel &channel, bool closeAfter)
    : loop(loop)
    , channel(channel)
    , close(closeAfter)
{
}

absl::Status ClientChannel::write(kj::WaitScope &scope, std::string_view data)
{
    return this->channel.write(scope, data, this->loop.clock().now() + writeTimeout);
}

LibHttpStream::ResponseHead ClientChannel::forwardedHead(const LibHttpStream::ResponseHead &head) const
{
    LibHttpStream::ResponseHead result{head.status, head.reason, {}};
    for (const LibHttpStream::Header &header : head.headers) {
        if (!LibHttpStream::isHopByHop(head.headers, header.name)) {
            result.headers.push_back(header);
        }
    }
    if (this->close) {
        result.headers.push_back({"Connection", "close"});
    }
    return result;
}

absl::Status ClientChannel::refuse(kj::WaitScope &scope, int status, std::string_view reason, AK::Milliseconds retryAfter)
{
    LibHttpStream::ResponseHead head{status, std::string(LibHttpStream::reasonPhrase(status)), {}};
    const std::string body = AK::concat("{\"error\":\"", reason, "\"}");
    head.headers.push_back({"Content-Type", "application/json"});
    if (retryAfter > 0) {
        head.headers.push_back({"Retry-After", formatSeconds(retryAfter)});
    }
    return this->sendResponse(scope, head, body, true);
}

absl::Status ClientChannel::sendResponse(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, const std::string &body, bool bodyAllowed)
{
    LibHttpStream::ResponseHead framed = this->forwardedHead(head);
    if (bodyAllowed) {
        framed.headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    this->responseStarted = true;
    CATKINLINK_TRY(this->write(scope, LibHttpStream::serializeResponseHead(framed) + body));
    this->responseComplete = true;
    return absl::OkStatus();
}

absl::Status ClientChannel::beginStream(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, std::string_view firstPart)
{
    LibHttpStream::ResponseHead framed = this->forwardedHead(head);
    framed.headers.push_back({"Transfer-Encoding", "chunked"});
    this->responseStarted = true;
    return this->write(scope, LibHttpStream::serializeResponseHead(framed) + LibHttpStream::encodeChunk(firstPart));
}

absl::Status ClientChannel::writeStream(kj::WaitScope &scope, std::string_view data)
{
    return this->write(scope, LibHttpStream::encodeChunk(data));
}

absl::Status ClientChannel::endStream(kj::WaitScope &scope)
{
    CATKINLINK_TRY(this->write(scope, LibHttpStream::lastChunk));
    this->responseComplete = true;
    return absl::OkStatus();
}

bool ClientChannel::begun() const
{
    return this->responseStarted;
}

bool ClientChannel::complete() const
{
    return this->responseComplete;
}

bool ClientChannel::closeAfter() const
{
    return this->close;
}

void ClientChannel::requestClose()
{
    this->close = true;
}

} // namespace Gateway
