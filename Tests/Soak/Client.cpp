#include "Client.h"
#include "Operator.h"

#include <AK/Text.h>
#include <LibHttpStream/MessageReader.h>
#include <algorithm>

namespace Soak
{

using LibHttpStream::findHeader;

namespace
{

constexpr AK::Milliseconds connectTimeout = 1'000;
// A response that is still missing so long after the client's deadline is none.
constexpr AK::Milliseconds lateMargin = 1'500;
constexpr int callsPerConnection = 40;

} // namespace

Client::Client(LibFiber::Loop &loop, History &history, const EntryFleet &entries, uint64_t seed)
    : loop(loop)
    , history(history)
    , entries(entries)
    , random(seed)
{
}

AK::Milliseconds Client::draw(AK::Milliseconds from, AK::Milliseconds range)
{
    return from + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, static_cast<uint64_t>(range)));
}

void Client::run(kj::WaitScope &scope, const bool &stopping)
{
    while (!stopping) {
        Connection connection;
        connection.entry = AK::uniformBelow(this->random, this->entries.size());
        connection.boot = this->entries.boot(connection.entry);
        auto channel =
            LibFiber::ByteChannel::connect(this->loop, scope, this->entries.clientAddress(connection.entry), this->loop.clock().now() + connectTimeout);
        if (!channel.ok()) {
            this->loop.sleep(scope, this->draw(50, 100));
            continue;
        }
        connection.channel = kj::mv(*channel);
        if (connection.boot != this->entries.boot(connection.entry)) {
            continue;
        }
        this->useConnection(scope, connection, stopping);
    }
}

void Client::useConnection(kj::WaitScope &scope, Connection &connection, const bool &stopping)
{
    LibFiber::ByteChannel &channel = *connection.channel;
    for (int i = 0; i < callsPerConnection && !stopping; ++i) {
        Call &call = this->newCall(connection);
        const bool reusable = this->makeCall(scope, channel, call);
        call.endedAt = this->loop.clock().now();
        if (!channel.buffered().empty() && call.end == CallEnd::Answered) {
            this->history.seen.push_back(AK::concat("MIXED: bytes behind the response to ", call.id, ": ", channel.buffered().substr(0, 80)));
            return;
        }
        if (!reusable) {
            return;
        }
        this->loop.sleep(scope, std::max(this->retryAfter, this->draw(10, AK::uniformBelow(this->random, 20) == 0 ? 2'000 : 150)));
        if (channel.fill(scope, this->loop.clock().now()).ok()) {
            this->history.seen.push_back(AK::concat("MIXED: bytes on an idle connection after ", call.id, ": ", channel.buffered().substr(0, 80)));
            return;
        }
        if (channel.ended()) {
            return;
        }
    }
}

Call &Client::newCall(const Connection &connection)
{
    constexpr int idDigits = 16;
    constexpr uint64_t changingShare = 4;
    Call call;
    call.id = AK::randomHex(this->random, idDigits);
    call.entry = connection.entry;
    call.entryBoot = connection.boot;
    if (AK::uniformBelow(this->random, changingShare) == 0) {
        call.prefix = Operator::changingPrefix(static_cast<int>(AK::uniformBelow(this->random, Operator::changingRoutes)));
    } else {
        call.kind = callKindNames[AK::uniformBelow(this->random, callKindNames.size())].value;
        call.prefix = Operator::prefixOf(call.kind);
    }
    call.limit = Operator::limitOf(call.kind);
    call.startedAt = this->loop.clock().now();
    call.sentAt = never;
    this->history.callsById[call.id] = this->history.calls.size();
    this->history.calls.push_back(std::move(call));
    return this->history.calls.back();
}

bool Client::send(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call)
{
    const std::string body = AK::concat("ask ", call.id);
    const bool chunked = AK::uniformBelow(this->random, 4) == 0;
    LibHttpStream::RequestHead head{"POST",
                                    AK::concat(call.prefix, call.id),
                                    {{"Host", "soak.example"}, {"X-Attempt-Id", call.id}, {"X-Api-Key", "key"}, {"X-Deadline-Ms", std::to_string(call.limit)}}};
    head.headers.push_back(chunked ? LibHttpStream::Header{"Transfer-Encoding", "chunked"}
                                   : LibHttpStream::Header{"Content-Length", std::to_string(body.size())});
    const std::string payload = chunked ? LibHttpStream::encodeChunk(body) + std::string(LibHttpStream::lastChunk) : body;
    const std::string text = LibHttpStream::serializeRequestHead(head) + payload;
    const size_t firstPart = AK::uniformBelow(this->random, 8) == 0 ? AK::uniformBelow(this->random, text.size()) : text.size();
    absl::Status written = channel.write(scope, text.substr(0, firstPart), this->patienceEnds);
    if (written.ok() && firstPart < text.size()) {
        this->loop.sleep(scope, this->draw(1, 60));
        written = channel.write(scope, text.substr(firstPart), this->patienceEnds);
    }
    if (!written.ok()) {
        call.end = CallEnd::NotSent;
        call.fault = std::string(written.message());
        return false;
    }
    call.sentAt = this->loop.clock().now();
    return true;
}

bool Client::makeCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call)
{
    constexpr uint64_t abandonedShare = 40;
    this->retryAfter = 0;
    this->patienceEnds = call.startedAt + call.limit + lateMargin;
    const bool abandons = AK::uniformBelow(this->random, abandonedShare) == 0;
    if (abandons) {
        this->patienceEnds = call.startedAt + this->draw(5, call.limit / 2);
    }
    if (!this->send(scope, channel, call)) {
        return false;
    }
    const bool reusable = this->receive(scope, channel, call);
    if (abandons && call.end == CallEnd::Late) {
        call.end = CallEnd::Abandoned;
    }
    return reusable;
}

void Client::fail(const LibFiber::ByteChannel &channel, Call &call, const absl::Status &status) const
{
    call.fault = std::string(status.message());
    if (absl::IsDeadlineExceeded(status)) {
        call.end = CallEnd::Late;
    } else if (absl::IsInvalidArgument(status) && !channel.ended()) {
        call.end = CallEnd::Garbled;
    } else {
        call.end = CallEnd::Broken;
    }
}

bool Client::receive(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call)
{
    constexpr size_t maxHeadBytes = 65'536;
    const auto text = LibHttpStream::readHeadText(channel, scope, maxHeadBytes, this->patienceEnds);
    if (!text.ok()) {
        this->fail(channel, call, text.status());
        return false;
    }
    const auto head = LibHttpStream::parseResponseHead(*text);
    const auto framing = head.ok() ? LibHttpStream::responseBodyFraming("POST", *head) : head.status();
    if (!head.ok() || !framing.ok()) {
        call.end = CallEnd::Garbled;
        call.fault = text->substr(0, 80);
        return false;
    }
    call.status = head->status;
    const std::string *receipt = findHeader(head->headers, "X-Server-Seal");
    call.receipt = receipt == nullptr ? "" : *receipt;
    const std::string *id = findHeader(head->headers, "X-Attempt-Id");
    call.echoedId = id == nullptr ? "" : *id;
    if (const std::string *after = findHeader(head->headers, "Retry-After")) {
        constexpr AK::Milliseconds longestWait = 500;
        this->retryAfter = std::min(longestWait, static_cast<AK::Milliseconds>(std::stod(*after) * 1'000));
    }
    LibHttpStream::BodyReader reader(channel, *framing);
    while (true) {
        const auto data = reader.next(scope, this->patienceEnds);
        if (!data.ok()) {
            this->fail(channel, call, data.status());
            return false;
        }
        if (!*data) {
            call.end = CallEnd::Answered;
            return reader.reusable() && !LibHttpStream::hasToken(head->headers, "Connection", "close");
        }
        call.body += **data;
    }
}

} // namespace Soak
