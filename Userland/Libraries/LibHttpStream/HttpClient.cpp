#include <LibHttpStream/HttpClient.h>

#include <AK/StatusMacros.h>
#include <LibHttpStream/MessageReader.h>
#include <kj/debug.h>

namespace LibHttpStream
{

namespace
{

constexpr size_t responseHeadBytes = 16384;

} // namespace

HttpClient::HttpClient(LibFiber::Loop &loop, AK::Endpoint address)
    : loop(loop)
    , target(std::move(address))
{
}

const AK::Endpoint &HttpClient::address() const
{
    return this->target;
}

absl::StatusOr<WholeResponse> HttpClient::call(kj::WaitScope &scope, const std::string &method, const std::string &path, const std::string &body,
                                               AK::Milliseconds connectDeadline, AK::Milliseconds deadline, uint64_t maxBodyBytes)
{
    if (this->busy) {
        return absl::FailedPreconditionError("another call is in flight");
    }
    this->busy = true;
    KJ_DEFER(this->busy = false);
    KJ_IF_MAYBE (channel, this->connection) {
        if ((*channel)->ended() || !(*channel)->buffered().empty()) {
            this->connection = nullptr;
        }
    }
    if (this->connection == nullptr) {
        absl::StatusOr<kj::Own<LibFiber::ByteChannel>> opened = LibFiber::ByteChannel::connect(this->loop, scope, this->target, connectDeadline);
        if (!opened.ok()) {
            return opened.status();
        }
        this->connection = kj::mv(*opened);
    }
    RequestHead head{method, path, {{"Host", this->target.text()}}};
    if (!body.empty() || method != "GET") {
        head.headers.push_back({"Content-Type", "application/json"});
        head.headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    absl::StatusOr<WholeResponse> response = this->exchange(scope, head, body, deadline, maxBodyBytes);
    if (!response.ok()) {
        this->connection = nullptr;
    }
    return response;
}

absl::StatusOr<WholeResponse> HttpClient::exchange(kj::WaitScope &scope, const RequestHead &head, const std::string &body, AK::Milliseconds deadline,
                                                   uint64_t maxBodyBytes)
{
    LibFiber::ByteChannel &channel = *KJ_ASSERT_NONNULL(this->connection);
    CATKINLINK_TRY(channel.write(scope, serializeRequestHead(head) + body, deadline));
    const absl::StatusOr<std::string> text = readHeadText(channel, scope, responseHeadBytes, deadline);
    if (absl::IsOutOfRange(text.status())) {
        return absl::UnavailableError("the server closed the connection without a response");
    }
    CATKINLINK_TRY(text.status());
    CATKINLINK_ASSIGN(ResponseHead response, parseResponseHead(*text));
    CATKINLINK_ASSIGN(const BodyFraming framing, responseBodyFraming(head.method, response));
    if (framing.kind == FramingKind::Length && framing.length > maxBodyBytes) {
        return absl::ResourceExhaustedError(absl::StrCat("the body of ", framing.length, " bytes exceeds ", maxBodyBytes));
    }
    BodyReader reader(channel, framing);
    CATKINLINK_ASSIGN(std::string content, readBody(reader, scope, maxBodyBytes, deadline));
    if (!reader.reusable() || hasToken(response.headers, "Connection", "close")) {
        this->connection = nullptr;
    } else {
        // Reads on while the connection is idle, so that the next call sees its end, or bytes that belong to no call.
        channel.whenReadable();
    }
    return WholeResponse{response.status, std::move(response.headers), std::move(content)};
}

HttpClientPool::HttpClientPool(LibFiber::Loop &loop, AK::Endpoint address, AK::Milliseconds idleTimeout)
    : loop(loop)
    , address(std::move(address))
    , idleTimeout(idleTimeout)
{
}

absl::StatusOr<WholeResponse> HttpClientPool::call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                                   AK::Milliseconds connectDeadline, AK::Milliseconds deadline, uint64_t maxBodyBytes)
{
    std::unique_ptr<HttpClient> client;
    if (this->idle.empty()) {
        client = std::make_unique<HttpClient>(this->loop, this->address);
    } else {
        client = std::move(this->idle.back().client);
        this->idle.pop_back();
    }
    absl::StatusOr<WholeResponse> response = client->call(scope, method, target, body, connectDeadline, deadline, maxBodyBytes);
    if (response.ok()) {
        this->idle.push_back({std::move(client), this->loop.clock().now()});
        this->closeWhenIdle();
    }
    return response;
}

void HttpClientPool::closeWhenIdle()
{
    if (this->idleTimeout == 0) {
        return;
    }
    this->loop.spawn([this](kj::WaitScope &scope) {
        this->loop.sleep(scope, this->idleTimeout);
        const AK::Milliseconds now = this->loop.clock().now();
        // Clients that became idle later are closed by their own fibers. The tolerance covers the loop's timers, which may fire a few ms early.
        constexpr AK::Milliseconds tolerance = 20;
        std::erase_if(this->idle, [&](const IdleClient &entry) { return now - entry.idleSince + tolerance >= this->idleTimeout; });
    });
}

} // namespace LibHttpStream
