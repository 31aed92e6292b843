#include <Services/Entry/CallAttempt.h>

#include <AK/Text.h>
#include <algorithm>

namespace Entry
{

namespace
{

/// Receives the response of one attempt. After the attempt has ended, `*callerResponse` is null and further parts are refused, so that they cannot reach the
/// caller.
class AttemptSink final : public Wire::AnswerSink::Server
{
public:
    explicit AttemptSink(std::shared_ptr<CallerResponse *> callerResponse)
        : callerResponse(std::move(callerResponse))
    {
    }

    kj::Promise<void> start(StartContext context) override
    {
        KJ_REQUIRE(*this->callerResponse != nullptr, "the attempt is over");
        LibHttp::HttpHeaders headers;
        for (const auto header : context.getParams().getHeaders()) {
            headers[AK::toLower(header.getName().cStr())] = header.getValue().cStr();
        }
        (*this->callerResponse)->begin(context.getParams().getStatus(), headers);
        return kj::READY_NOW;
    }

    kj::Promise<void> write(WriteContext context) override
    {
        KJ_REQUIRE(*this->callerResponse != nullptr, "the attempt is over");
        const auto data = context.getParams().getData().asChars();
        KJ_REQUIRE((*this->callerResponse)->append({data.begin(), data.size()}), "the caller is gone or the answer is too large");
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<CallerResponse *> callerResponse;
};

void fillRequest(Wire::CallRequest::Builder request, const EntryCall &call, const LibRouting::Candidate &candidate, bool queueAllowed, AK::Milliseconds now)
{
    request.setRequestId(call.requestId);
    request.setKind(call.engine ? Wire::CallKind::ENGINE : Wire::CallKind::PLAIN);
    request.setService(call.service);
    request.setAccount(call.account);
    request.setAccountWeight(call.accountWeight);
    request.setPriority(call.priority);
    request.setDeadlineMs(static_cast<uint64_t>(std::max<AK::Milliseconds>(1, call.deadline - now)));
    request.setWeightsRoot(candidate.weightsRoot);
    request.setRevision(call.configuration->revision.number);
    request.setMethod(call.request.method);
    request.setPath(call.path);
    request.setBody({reinterpret_cast<const kj::byte *>(call.request.body.data()), call.request.body.size()});
    request.setStream(call.stream);
    request.setClaimNonce(call.claimNonce);
    request.setQueueAllowed(queueAllowed);
    LibHttp::HttpHeaders headers{{"x-request-id", call.requestId}};
    for (const std::string_view name : {"content-type", "accept"}) {
        if (const auto value = LibHttp::headerOr(call.request.headers, name); !value.empty()) {
            headers[std::string(name)] = value;
        }
    }
    if (!call.idempotencyKey.empty()) {
        headers["idempotency-key"] = call.idempotencyKey;
    }
    auto list = request.initHeaders(static_cast<unsigned>(headers.size()));
    unsigned index = 0;
    for (const auto &[name, value] : headers) {
        list[index].setName(name);
        list[index].setValue(value);
        ++index;
    }
}

AttemptResult readReply(Wire::CallReply::Reader reply, AK::Milliseconds now)
{
    AttemptResult result;
    result.message = reply.getMessage().cStr();
    result.retryAfterMs = reply.getRetryAfterMs();
    result.reason = static_cast<LibRouting::Refusal>(reply.getReason());
    const auto load = reply.getLoad();
    result.load = LibRouting::LoadHint{load.getSlots(), load.getInUse(), load.getQueued(), load.getWarm(), now};
    switch (reply.getResult()) {
    case Wire::CallResult::COMPLETE:
        result.kind = AttemptResult::Kind::Complete;
        break;
    case Wire::CallResult::REFUSED:
        // A duplicate claim is refused because the same claim has run or is running, so the call may have started.
        result.kind = result.reason == LibRouting::Refusal::DuplicateClaim ? AttemptResult::Kind::Failed : AttemptResult::Kind::Refused;
        break;
    default:
        result.kind = AttemptResult::Kind::Failed;
    }
    return result;
}

} // namespace

AttemptResult attemptCall(const EntryCall &call, const LibRouting::Candidate &candidate, bool queueAllowed, const LibWire::RpcIdentity &identity,
                          const AK::Clock &clock, AK::Milliseconds connectTimeout, CallerResponse &callerResponse)
{
    AttemptResult result;
    const AK::Milliseconds remaining = std::max<AK::Milliseconds>(1, call.deadline - clock.now());
    auto connection = LibWire::RpcConnection::open(candidate.rpcAddress, identity, std::min(remaining, connectTimeout));
    const AK::Milliseconds now = clock.now();
    if (!connection.ok() || now >= std::min(call.startBefore, call.deadline)) {
        result.kind = AttemptResult::Kind::Refused;
        result.unreachable = !connection.ok();
        result.reason = result.unreachable ? LibRouting::Refusal::Unreachable : LibRouting::Refusal::Deadline;
        result.message = result.unreachable ? std::string(connection.status().message()) : "time to start the call is over";
        return result;
    }
    auto currentResponse = std::make_shared<CallerResponse *>(&callerResponse);
    auto request = (*connection)->node().callRequest();
    fillRequest(request.initRequest(), call, candidate, queueAllowed, now);
    request.setSink(kj::heap<AttemptSink>(currentResponse));
    auto reply = (*connection)->call(kj::mv(request), std::max<AK::Milliseconds>(1, call.deadline - now));
    *currentResponse = nullptr;
    if (!reply.ok()) {
        result.kind = AttemptResult::Kind::Failed;
        result.message = std::string(reply.status().message());
        return result;
    }
    return readReply(reply->getReply(), clock.now());
}

} // namespace Entry
