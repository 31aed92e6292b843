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

ClientChannel::ClientChannel(LibFiber::ByteChannel &channel, bool closeAfter)
    : channel(channel)
    , close(closeAfter)
{
}

absl::Status ClientChannel::expectState(State expected, std::string_view operation)
{
    if (this->state == expected) {
        return absl::OkStatus();
    }
    const std::string_view name = AK::nameOf(stateNames, this->state);
    this->logger.error("response_out_of_order", {{"operation", operation}, {"state", name}});
    this->state = this->state == State::Complete ? State::Complete : State::Broken;
    return absl::FailedPreconditionError(AK::concat(operation, ": the response is ", name));
}

absl::Status ClientChannel::write(kj::WaitScope &scope, std::string_view data, State next)
{
    // Until the write has ended, it is unknown how much of it the client has.
    this->state = State::Broken;
    CATKINLINK_TRY(this->channel.writeWhileRead(scope, data, writeTimeout));
    this->state = next;
    return absl::OkStatus();
}

LibHttpStream::ResponseHead ClientChannel::forwardedHead(const LibHttpStream::ResponseHead &head) const
{
    LibHttpStream::ResponseHead result{head.status, head.reason, LibHttpStream::endToEndHeaders(head.headers)};
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
    CATKINLINK_TRY(this->expectState(State::NotBegun, "sendResponse"));
    LibHttpStream::ResponseHead framed = this->forwardedHead(head);
    if (bodyAllowed) {
        framed.headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    return this->write(scope, LibHttpStream::serializeResponseHead(framed) + body, State::Complete);
}

absl::Status ClientChannel::beginStream(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, std::string_view firstPart)
{
    CATKINLINK_TRY(this->expectState(State::NotBegun, "beginStream"));
    LibHttpStream::ResponseHead framed = this->forwardedHead(head);
    framed.headers.push_back({"Transfer-Encoding", "chunked"});
    const std::string chunk = firstPart.empty() ? "" : LibHttpStream::encodeChunk(firstPart);
    return this->write(scope, LibHttpStream::serializeResponseHead(framed) + chunk, State::Streaming);
}

absl::Status ClientChannel::writeStream(kj::WaitScope &scope, std::string_view data)
{
    CATKINLINK_TRY(this->expectState(State::Streaming, "writeStream"));
    return data.empty() ? absl::OkStatus() : this->write(scope, LibHttpStream::encodeChunk(data), State::Streaming);
}

absl::Status ClientChannel::endStream(kj::WaitScope &scope)
{
    CATKINLINK_TRY(this->expectState(State::Streaming, "endStream"));
    return this->write(scope, LibHttpStream::lastChunk, State::Complete);
}

bool ClientChannel::begun() const
{
    return this->state != State::NotBegun;
}

bool ClientChannel::complete() const
{
    return this->state == State::Complete;
}

bool ClientChannel::hasLeft() const
{
    return this->channel.peerHasClosed();
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
