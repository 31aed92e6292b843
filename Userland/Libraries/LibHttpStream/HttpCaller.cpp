#include <LibHttpStream/HttpCaller.h>

#include <AK/StatusMacros.h>
#include <LibHttpStream/MessageReader.h>
#include <kj/debug.h>

namespace LibHttpStream
{

namespace
{

constexpr size_t responseHeadBytes = 16384;
// A list of objects is about 1 MB at most.
constexpr uint64_t responseBodyBytes = 16UL << 20;

} // namespace

HttpCaller::HttpCaller(LibFiber::Loop &loop, AK::Endpoint address)
    : loop(loop)
    , target(std::move(address))
{
}

const AK::Endpoint &HttpCaller::address() const
{
    return this->target;
}

absl::StatusOr<WholeResponse> HttpCaller::call(kj::WaitScope &scope, const std::string &method, const std::string &path, const std::string &body,
                                               AK::Milliseconds connectBy, AK::Milliseconds deadline)
{
    if (this->busy) {
        return absl::FailedPreconditionError("another call is being made");
    }
    this->busy = true;
    KJ_DEFER(this->busy = false);
    KJ_IF_MAYBE (channel, this->kept) {
        if ((*channel)->ended() || !(*channel)->buffered().empty()) {
            this->kept = nullptr;
        }
    }
    if (this->kept == nullptr) {
        absl::StatusOr<kj::Own<LibFiber::ByteChannel>> opened = LibFiber::ByteChannel::connect(this->loop, scope, this->target, connectBy);
        if (!opened.ok()) {
            return opened.status();
        }
        this->kept = kj::mv(*opened);
    }
    RequestHead head{method, path, {{"Host", this->target.text()}}};
    if (!body.empty() || method != "GET") {
        head.headers.push_back({"Content-Type", "application/json"});
        head.headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    absl::StatusOr<WholeResponse> response = this->exchange(scope, head, body, deadline);
    if (!response.ok()) {
        this->kept = nullptr;
    }
    return response;
}

absl::StatusOr<WholeResponse> HttpCaller::exchange(kj::WaitScope &scope, const RequestHead &head, const std::string &body, AK::Milliseconds deadline)
{
    LibFiber::ByteChannel &channel = *KJ_ASSERT_NONNULL(this->kept);
    CATKINLINK_TRY(channel.write(scope, serializeRequestHead(head) + body, deadline));
    CATKINLINK_ASSIGN(const std::string text, readHeadText(channel, scope, responseHeadBytes, deadline));
    CATKINLINK_ASSIGN(ResponseHead response, parseResponseHead(text));
    CATKINLINK_ASSIGN(const BodyFraming framing, responseBodyFraming(head.method, response));
    BodyReader reader(channel, framing);
    CATKINLINK_ASSIGN(std::string content, readBody(reader, scope, responseBodyBytes, deadline));
    if (!reader.reusable() || hasToken(response.headers, "Connection", "close")) {
        this->kept = nullptr;
    }
    return WholeResponse{response.status, std::move(response.headers), std::move(content)};
}

HttpCallerPool::HttpCallerPool(LibFiber::Loop &loop, AK::Endpoint address, AK::Milliseconds idleLimit)
    : loop(loop)
    , address(std::move(address))
    , idleLimit(idleLimit)
{
}

absl::StatusOr<WholeResponse> HttpCallerPool::call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                                   AK::Milliseconds connectBy, AK::Milliseconds deadline)
{
    std::unique_ptr<HttpCaller> caller;
    if (this->idle.empty()) {
        caller = std::make_unique<HttpCaller>(this->loop, this->address);
    } else {
        caller = std::move(this->idle.back().caller);
        this->idle.pop_back();
    }
    absl::StatusOr<WholeResponse> response = caller->call(scope, method, target, body, connectBy, deadline);
    if (response.ok()) {
        this->idle.push_back({std::move(caller), this->loop.clock().now()});
        this->closeWhenIdle();
    }
    return response;
}

void HttpCallerPool::closeWhenIdle()
{
    if (this->idleLimit == 0) {
        return;
    }
    this->loop.spawn([this](kj::WaitScope &scope) {
        this->loop.sleep(scope, this->idleLimit);
        const AK::Milliseconds now = this->loop.clock().now();
        // Others that came to rest meanwhile have fibers of their own; the tolerance covers the loop's timers, which may fire some ms early.
        constexpr AK::Milliseconds tolerance = 20;
        std::erase_if(this->idle, [&](const Resting &resting) { return now - resting.since + tolerance >= this->idleLimit; });
    });
}

} // namespace LibHttpStream
