#include "UpstreamCall.h"

#include <AK/Text.h>
#include <LibGateway/RefusalProof.h>
#include <algorithm>
#include <kj/debug.h>

namespace Gateway
{

namespace
{

// Connections within a site open in a few ms; a host that is down or cut off never answers.
constexpr AK::Milliseconds connectTimeout = 400;
constexpr size_t maxResponseHeadBytes = 16384;
// Responses to other requests that are dropped before the call fails.
constexpr int maxMismatchedResponses = 3;
constexpr uint64_t maxMismatchedBodyBytes = 64UL << 10;
constexpr int64_t maxKeepAliveSeconds = 24 * 3'600;

AK::Milliseconds keepAliveOf(const LibHttpStream::Headers &headers)
{
    static constexpr std::string_view field = "timeout=";
    const std::string *value = LibHttpStream::findHeader(headers, "Keep-Alive");
    if (value == nullptr) {
        return 0;
    }
    const size_t start = value->find(field);
    if (start == std::string::npos) {
        return 0;
    }
    std::string_view digits = std::string_view(*value).substr(start + field.size());
    digits = digits.substr(0, std::min(digits.find_first_not_of("0123456789"), digits.size()));
    return std::min(AK::parseInteger(digits).value_or(0), maxKeepAliveSeconds) * 1000;
}

} // namespace

UpstreamCall::UpstreamCall(LibFiber::Loop &loop, UpstreamConnectionPool &connections, const LibGateway::CallCodec &codec)
    : loop(loop)
    , connections(connections)
    , codec(codec)
{
}

void UpstreamCall::onHead(std::function<void(const LibGateway::ResponseInfo &)> observer)
{
    this->headObserver = std::move(observer);
}

UpstreamCall::Result UpstreamCall::send(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, const HeadSource &makeHead,
                                        const std::string &requestBody, const std::string &id, bool allowReuse, AK::Milliseconds headDeadline,
                                        AK::Milliseconds deadline, const SendCheck &check)
{
    this->address = upstream.address;
    const AK::Milliseconds connectBy = std::min(headDeadline, this->loop.clock().now() + connectTimeout);
    absl::StatusOr<PooledConnection> opened = this->connections.open(scope, this->address, allowReuse, connectBy);
    if (!opened.ok()) {
        this->connections.dropIdle(this->address);
        return {SendOutcome::NotRun, false, AK::concat("connect: ", opened.status().message())};
    }
    if (const std::optional<LibGateway::Hindrance> hindrance = check()) {
        return {SendOutcome::NotRun, false, AK::concat("not sent: ", AK::nameOf(LibGateway::obstacleNames, hindrance->obstacle)), false, false, false,
                hindrance->obstacle};
    }
    this->connection = kj::mv(*opened);
    LibHttpStream::RequestHead framed = makeHead();
    if (!requestBody.empty() || (framed.method != "GET" && framed.method != "HEAD")) {
        framed.headers.push_back({"Content-Length", std::to_string(requestBody.size())});
    }
    this->request = LibHttpStream::serializeRequestHead(framed) + requestBody;
    this->requestId = id;
    this->method = framed.method;
    // Written in parallel with reading: an upstream may respond before it has read a long body.
    this->writing =
        this->loop.fiber([this, deadline](kj::WaitScope &inner) { this->written = this->connection.channel->write(inner, this->request, deadline).ok(); })
            .eagerlyEvaluate(nullptr);
    return this->receiveHead(scope, headDeadline);
}

UpstreamCall::Result UpstreamCall::receiveHead(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    LibFiber::ByteChannel &channel = *this->connection.channel;
    for (; this->mismatchedResponses <= maxMismatchedResponses; ++this->mismatchedResponses) {
        const absl::StatusOr<std::string> text = LibHttpStream::readHeadText(channel, scope, maxResponseHeadBytes, deadline);
        if (!text.ok()) {
            const bool silent = absl::IsDeadlineExceeded(text.status());
            return {SendOutcome::Unknown, false, AK::concat("no answer: ", text.status().message()), !silent, silent};
        }
        absl::StatusOr<LibHttpStream::ResponseHead> parsed = LibHttpStream::parseResponseHead(*text);
        if (!parsed.ok()) {
            return {SendOutcome::Unknown, false, AK::concat("malformed response head: ", parsed.status().message())};
        }
        const absl::StatusOr<LibHttpStream::BodyFraming> framing = LibHttpStream::responseBodyFraming(this->method, *parsed);
        if (!framing.ok()) {
            return {SendOutcome::Unknown, false, AK::concat("malformed response framing: ", framing.status().message())};
        }
        auto reader = kj::heap<LibHttpStream::BodyReader>(channel, *framing);
        if (parsed->status / 100 == 1) {
            continue;
        }
        const LibGateway::ResponseInfo decoded = this->codec.decodeResponse(*parsed);
        if (!decoded.requestId.empty() && decoded.requestId != this->requestId) {
            if (!LibHttpStream::readBody(*reader, scope, maxMismatchedBodyBytes, deadline).ok() || !reader->reusable()) {
                return {SendOutcome::Unknown, false, "a response to another request ended the connection"};
            }
            continue;
        }
        if (decoded.requestId.empty() && this->connection.reused) {
            return {SendOutcome::Unknown, false, "a response without a request id on a reused connection may belong to an earlier request"};
        }
        if (this->headObserver) {
            this->headObserver(decoded);
        }
        if (parsed->status / 100 == 2 && !decoded.authentic && !decoded.notRun) {
            return {SendOutcome::Unknown, false, AK::concat("unproven success: status ", parsed->status, " without a receipt"), false, false, true};
        }
        this->head = std::move(*parsed);
        this->info = decoded;
        this->body = kj::mv(reader);
        return this->judgeRefusal(scope);
    }
    return {SendOutcome::Unknown, false, AK::concat("more than ", maxMismatchedResponses, " responses to other requests")};
}

UpstreamCall::Result UpstreamCall::judgeRefusal(kj::WaitScope &scope)
{
    switch (LibGateway::proofOfRefusal(this->head.status, this->info, this->requestId)) {
    case LibGateway::RefusalProof::NoRefusal:
        return {SendOutcome::Answered, false, ""};
    case LibGateway::RefusalProof::Unproven:
        return {SendOutcome::Unknown, false, AK::concat("unproven refusal: status ", this->head.status, " may mean another request")};
    case LibGateway::RefusalProof::Proven:
        break;
    }
    if (this->isContradicted(scope)) {
        return {SendOutcome::Unknown, false, AK::concat("unproven refusal: status ", this->head.status, " is followed by more bytes")};
    }
    Result refused{SendOutcome::NotRun, true, AK::concat("refused with ", this->head.status)};
    refused.misdirected = this->head.status == LibGateway::misdirectedStatus;
    return refused;
}

bool UpstreamCall::isContradicted(kj::WaitScope &scope)
{
    LibFiber::ByteChannel &channel = *this->connection.channel;
    const AK::Milliseconds now = this->loop.clock().now();
    if (!LibHttpStream::readBody(*KJ_ASSERT_NONNULL(this->body), scope, maxMismatchedBodyBytes, now).ok() || channel.buffered().empty()) {
        return false;
    }
    const absl::StatusOr<std::string> text = LibHttpStream::readHeadText(channel, scope, maxResponseHeadBytes, now);
    const auto next = text.ok() ? LibHttpStream::parseResponseHead(*text) : absl::StatusOr<LibHttpStream::ResponseHead>(text.status());
    if (!next.ok()) {
        return true;
    }
    const LibGateway::ResponseInfo nextInfo = this->codec.decodeResponse(*next);
    const bool isOfAnother = !nextInfo.requestId.empty() && nextInfo.requestId != this->requestId;
    return !isOfAnother && LibGateway::proofOfRefusal(next->status, nextInfo, this->requestId) != LibGateway::RefusalProof::Proven;
}

const LibHttpStream::ResponseHead &UpstreamCall::responseHead() const
{
    return this->head;
}

const LibGateway::ResponseInfo &UpstreamCall::responseInfo() const
{
    return this->info;
}

absl::StatusOr<std::optional<std::string>> UpstreamCall::read(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    return KJ_ASSERT_NONNULL(this->body)->next(scope, deadline);
}

bool UpstreamCall::endsWithConnection() const
{
    KJ_IF_MAYBE (reader, this->body) {
        return (*reader)->endsWithConnection();
    }
    return false;
}

kj::Promise<void> UpstreamCall::whenReadable()
{
    return this->connection.channel->whenReadable();
}

UpstreamCall::~UpstreamCall()
{
    this->close();
}

void UpstreamCall::close()
{
    this->body = nullptr;
    this->writing = nullptr;
    if (this->connection.channel.get() != nullptr) {
        this->connection.channel->resetOnClose();
        this->connection.channel = nullptr;
    }
}

bool UpstreamCall::closed() const
{
    return this->connection.channel.get() == nullptr;
}

void UpstreamCall::finish()
{
    KJ_IF_MAYBE (reader, this->body) {
        if (!this->written || !(*reader)->reusable() || LibHttpStream::hasToken(this->head.headers, "Connection", "close")) {
            return;
        }
        this->body = nullptr;
        this->writing = nullptr;
        this->connections.release(this->address, kj::mv(this->connection.channel), keepAliveOf(this->head.headers));
    }
}

} // namespace Gateway
