#include <Services/Agent/CallService.h>

#include <AK/Text.h>
#include <LibWire/EventLoop.h>
#include <algorithm>
#include <chrono>

namespace Agent
{

using LibRouting::Refusal;

namespace
{

LibRouting::AdmissionLimits limitsOf(const LibSettings::AgentSettings &settings)
{
    return {settings.capacity, settings.coldSlots, settings.rampStepMs, settings.queueLimit};
}

// Headers that are not forwarded to the upstream: those of one connection, the host name of the entry, and the caller's credentials.
bool isStrippedHeader(std::string_view name)
{
    return name == "host" || name == "connection" || name == "content-length" || name == "transfer-encoding" || name == "keep-alive" || name == "authorization";
}

} // namespace

/// A received call, copied because it outlives the message.
struct CallService::Call {
    std::string requestId;
    std::string account;
    std::string service;
    std::string weightsRoot;
    std::string claimNonce;
    uint64_t revision = 0;
    bool engine = false;
    bool stream = false;
    AK::Milliseconds deadline = 0;
    LibHttp::HttpRequest request;

    Call(Wire::CallRequest::Reader reader, AK::Milliseconds now)
        : requestId(reader.getRequestId().cStr())
        , account(reader.getAccount().cStr())
        , service(reader.getService().cStr())
        , weightsRoot(reader.getWeightsRoot().cStr())
        , claimNonce(reader.getClaimNonce().cStr())
        , revision(reader.getRevision())
        , engine(reader.getKind() == Wire::CallKind::ENGINE)
        , stream(reader.getStream())
        , deadline(now + static_cast<AK::Milliseconds>(std::min<uint64_t>(reader.getDeadlineMs(), 3'600'000)))
    {
        this->request.method = reader.getMethod().cStr();
        const std::string target = reader.getPath().cStr();
        const size_t queryStart = target.find('?');
        this->request.path = target.substr(0, queryStart);
        this->request.query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
        for (const auto header : reader.getHeaders()) {
            if (!isStrippedHeader(header.getName().cStr())) {
                this->request.headers[header.getName().cStr()] = header.getValue().cStr();
            }
        }
        const auto body = reader.getBody().asChars();
        this->request.body.assign(body.begin(), body.size());
    }
};

/// Counts a call as open until its reply is built, so that drain() waits for it.
class CallService::CallGuard
{
public:
    explicit CallGuard(CallService &service)
        : service(service)
    {
        const std::lock_guard lock(this->service.mutex);
        ++this->service.openCalls;
    }
    ~CallGuard()
    {
        const std::lock_guard lock(this->service.mutex);
        --this->service.openCalls;
        this->service.changed.notify_all();
    }
    CallGuard(const CallGuard &) = delete;
    CallGuard &operator=(const CallGuard &) = delete;

private:
    CallService &service;
};

CallService::CallService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                         LibMembership::MembershipView &membership, LibEngine::EngineState &engine, LibMetrics::MetricRegistry &metrics, CallTiming timing)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , engine(engine)
    , metrics(metrics)
    , timing(timing)
    , upstream(settings.agent.upstreamAddress)
    , admission(limitsOf(settings.agent), clock)
    , switchStatistics(membership)
{
}

CallService::~CallService()
{
    this->stop();
}

std::string_view CallService::name() const
{
    return "calls";
}

absl::Status CallService::start()
{
    this->tick();
    this->tickThread = std::thread([this] { this->runTicks(); });
    return absl::OkStatus();
}

void CallService::drain()
{
    this->admission.close(Refusal::Draining);
    std::unique_lock lock(this->mutex);
    const auto idle = [this] {
        return this->openCalls == 0 && this->readerCount == 0;
    };
    if (!this->changed.wait_for(lock, std::chrono::milliseconds(this->timing.drainMs), idle)) {
        this->logger.warning("drain_incomplete", {{"calls", this->openCalls}, {"limit_ms", this->timing.drainMs}});
    }
}

void CallService::stop()
{
    this->admission.close(Refusal::Draining);
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }
    if (this->tickThread.joinable()) {
        this->tickThread.join();
    }
    // FIXME: A reader whose upstream is silent ends only after LibHttp's limit of 30 s, or at the deadline of its call while it waits for the head.
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->readerCount == 0; });
}

void CallService::call(Wire::CallRequest::Reader request, Wire::AnswerSink::Client sink, Wire::CallReply::Builder reply, kj::WaitScope &scope)
{
    const CallGuard guard(*this);
    const Call call(request, this->clock.now());
    UpstreamCheck upstreamCheck = this->checkUpstream(call);
    if (upstreamCheck.reason != Refusal::None) {
        this->refuse(call, upstreamCheck.reason, this->settings.timing.statusPollMs, {}, reply);
        return;
    }
    LibRouting::AdmissionRequest admissionRequest{0, call.account, request.getAccountWeight(), request.getPriority(), call.deadline, request.getQueueAllowed()};
    SlotResult slotResult = this->admission.acquireSlot(std::move(admissionRequest), scope);
    if (!slotResult.slot) {
        this->refuse(call, slotResult.reason, slotResult.retryAfterMs, {}, reply);
        return;
    }
    // The configuration or the engine may have changed during the wait in the queue.
    upstreamCheck = this->checkUpstream(call);
    if (upstreamCheck.reason != Refusal::None) {
        slotResult.slot.reset();
        this->refuse(call, upstreamCheck.reason, this->settings.timing.statusPollMs, {}, reply);
        return;
    }
    this->runAdmitted(call, upstreamCheck, std::move(slotResult.slot), sink, reply, scope);
}

// Also starts a new ramp when the upstream has returned to service, because its caches and connections may be cold.
bool CallService::upstreamAllowedNow()
{
    const auto current = this->configuration.current();
    const bool allowedNow = current && LibConfiguration::upstreamAllowed(*current, this->settings.name, this->clock.wallTime());
    const std::lock_guard lock(this->mutex);
    if (allowedNow && !this->upstreamWasAllowed) {
        this->admission.startCold();
    }
    this->upstreamWasAllowed = allowedNow;
    return allowedNow;
}

CallService::UpstreamCheck CallService::checkUpstream(const Call &call)
{
    if (!this->upstreamAllowedNow() || call.service != this->settings.agent.service) {
        return {Refusal::OutOfService, {}};
    }
    if (call.engine != (this->settings.agent.upstreamKind == LibSettings::UpstreamKind::Engine)) {
        return {Refusal::OutOfService, {}};
    }
    if (!call.engine) {
        return {};
    }
    const uint64_t epoch = this->engine.epoch();
    const auto verified = this->engine.verified(this->clock.now(), this->settings.timing.statusMaxAgeMs);
    if (!verified) {
        return {Refusal::NotVerified, {}};
    }
    if (verified->root != call.weightsRoot) {
        return {Refusal::WrongWeights, {}};
    }
    this->admission.observeEngine(epoch, verified->slots);
    return {Refusal::None, verified->fingerprint};
}

void CallService::fillLoad(Wire::CallReply::Builder reply)
{
    const LibRouting::LoadHint hint = this->admission.load();
    auto load = reply.initLoad();
    load.setSlots(hint.slots);
    load.setInUse(hint.inUse);
    load.setQueued(hint.queued);
    load.setWarm(hint.warm);
}

void CallService::refuse(const Call &call, Refusal reason, AK::Milliseconds retryAfterMs, std::string_view message, Wire::CallReply::Builder reply)
{
    const std::string_view reasonName = AK::nameOf(LibRouting::refusalNames, reason);
    reply.setResult(Wire::CallResult::REFUSED);
    reply.setReason(static_cast<Wire::RefusalReason>(reason));
    reply.setMessage(message.empty() ? std::string(reasonName) : std::string(message));
    reply.setRetryAfterMs(static_cast<uint32_t>(retryAfterMs));
    this->fillLoad(reply);
    this->metrics.add("catkinlink_agent_refusals_total", {{"reason", std::string(reasonName)}});
    this->logger.info("call_refused", {{"request_id", call.requestId}, {"account", call.account}, {"revision", call.revision}, {"reason", reasonName}});
}

void CallService::fail(const Call &call, std::string_view message, Wire::CallReply::Builder reply)
{
    reply.setResult(Wire::CallResult::FAILED);
    reply.setMessage(std::string(message));
    this->fillLoad(reply);
    this->metrics.add("catkinlink_agent_calls_total", {{"result", "failed"}});
    this->logger.info("call_failed", {{"request_id", call.requestId}, {"account", call.account}, {"revision", call.revision}, {"reason", message}});
}

std::shared_ptr<UpstreamCall> CallService::startReader(const Call &call, const UpstreamCheck &upstreamCheck, std::shared_ptr<Slot> slot)
{
    UpstreamRequest upstreamRequest;
    upstreamRequest.http = call.request;
    upstreamRequest.engine = call.engine;
    upstreamRequest.stream = call.stream;
    upstreamRequest.fingerprint = upstreamCheck.fingerprint;
    upstreamRequest.timeout = std::max<AK::Milliseconds>(1, call.deadline - this->clock.now());
    upstreamRequest.onMismatch = [this, requestId = call.requestId, expected = upstreamCheck.fingerprint] {
        this->logger.warning("fingerprint_mismatch", {{"request_id", requestId}, {"expected", expected}});
        this->engine.markUnverified();
    };
    auto upstreamCall = std::make_shared<UpstreamCall>(this->upstream, std::move(upstreamRequest), std::move(slot));
    {
        const std::lock_guard lock(this->mutex);
        ++this->readerCount;
    }
    std::thread([this, upstreamCall]() mutable {
        upstreamCall->run();
        upstreamCall.reset();
        const std::lock_guard lock(this->mutex);
        --this->readerCount;
        this->changed.notify_all();
    }).detach();
    return upstreamCall;
}

void CallService::runAdmitted(const Call &call, const UpstreamCheck &upstreamCheck, std::shared_ptr<Slot> slot, Wire::AnswerSink::Client &sink,
                              Wire::CallReply::Builder reply, kj::WaitScope &scope)
{
    if (!call.claimNonce.empty()) {
        const NonceResult nonceResult = this->usedNonces.add(call.claimNonce, this->clock.now());
        if (nonceResult != NonceResult::Fresh) {
            slot.reset();
            this->refuse(call, nonceResult == NonceResult::Repeated ? Refusal::DuplicateClaim : Refusal::Overloaded, 1'000, {}, reply);
            return;
        }
    }
    reply.setFingerprint(upstreamCheck.fingerprint);
    const std::shared_ptr<UpstreamCall> upstreamCall = this->startReader(call, upstreamCheck, std::move(slot));
    struct CancelOnExit {
        UpstreamCall &call;
        ~CancelOnExit()
        {
            this->call.cancel();
        }
    } cancelOnExit{*upstreamCall};
    this->forwardResponse(call, *upstreamCall, sink, reply, scope);
}

void CallService::forwardResponse(const Call &call, UpstreamCall &upstreamCall, Wire::AnswerSink::Client &sink, Wire::CallReply::Builder reply,
                                  kj::WaitScope &scope)
{
    while (true) {
        const std::optional<ResponsePart> part = upstreamCall.next(std::max<AK::Milliseconds>(0, call.deadline - this->clock.now()), scope);
        if (!part) {
            this->switchStatistics.count(true);
            this->fail(call, "deadline passed before the answer was whole", reply);
            return;
        }
        if (part->kind == ResponsePart::Kind::End) {
            this->switchStatistics.count(false);
            reply.setResult(Wire::CallResult::COMPLETE);
            this->fillLoad(reply);
            this->metrics.add("catkinlink_agent_calls_total", {{"result", "complete"}});
            this->logger.debug("call_complete", {{"request_id", call.requestId}, {"account", call.account}, {"revision", call.revision}});
            return;
        }
        if (part->kind == ResponsePart::Kind::Failed) {
            this->switchStatistics.count(true);
            if (part->notSent) {
                this->usedNonces.remove(call.claimNonce);
                this->refuse(call, Refusal::Unreachable, this->settings.timing.statusPollMs, part->reason, reply);
            } else {
                this->fail(call, part->reason, reply);
            }
            return;
        }
        if (const std::string error = this->forwardPart(call, *part, sink, scope); !error.empty()) {
            this->fail(call, error, reply);
            return;
        }
    }
}

// Returns an error message when the caller did not accept the part, otherwise an empty string.
std::string CallService::forwardPart(const Call &call, const ResponsePart &part, Wire::AnswerSink::Client &sink, kj::WaitScope &scope)
{
    const AK::Milliseconds limit = std::max<AK::Milliseconds>(1, std::min(this->timing.callerStallMs, call.deadline - this->clock.now()));
    absl::Status status;
    if (part.kind == ResponsePart::Kind::Head) {
        auto request = sink.startRequest();
        request.setStatus(static_cast<uint16_t>(part.status));
        auto headers = request.initHeaders(static_cast<unsigned>(part.headers.size()));
        unsigned index = 0;
        for (const auto &[name, value] : part.headers) {
            headers[index].setName(name);
            headers[index].setValue(value);
            ++index;
        }
        using Response = capnp::Response<Wire::AnswerSink::StartResults>;
        status = LibWire::waitFor<Response>(request.send(), limit, scope).status();
    } else {
        auto request = sink.writeRequest();
        request.setData({reinterpret_cast<const kj::byte *>(part.data.data()), part.data.size()});
        using Response = capnp::Response<Wire::AnswerSink::WriteResults>;
        status = LibWire::waitFor<Response>(request.send(), limit, scope).status();
    }
    return status.ok() ? "" : AK::concat("caller did not take the answer within ", limit, " ms: ", status.message());
}

void CallService::runTicks()
{
    std::unique_lock lock(this->mutex);
    while (!this->changed.wait_for(lock, std::chrono::milliseconds(this->timing.tickMs), [this] { return this->stopping; })) {
        lock.unlock();
        this->tick();
        lock.lock();
    }
}

void CallService::tick()
{
    bool usable = this->upstreamAllowedNow();
    if (this->settings.agent.upstreamKind == LibSettings::UpstreamKind::Engine) {
        const uint64_t epoch = this->engine.epoch();
        const auto verified = this->engine.verified(this->clock.now(), this->settings.timing.statusMaxAgeMs);
        usable = usable && verified.has_value();
        if (verified) {
            this->admission.observeEngine(epoch, verified->slots);
            this->switchStatistics.observeRoot(verified->root);
        }
    }
    this->admission.tick();
    this->switchStatistics.publish(usable && this->admission.load().warm, this->clock.now());
}

void CallService::closeForSwitch()
{
    this->admission.close(Refusal::NotVerified);
}

bool CallService::waitDrained(AK::Milliseconds timeout)
{
    return this->admission.waitIdle(timeout);
}

void CallService::reopen()
{
    this->admission.startCold();
    this->admission.open();
}

int CallService::callsInFlight() const
{
    return this->admission.inUse();
}

} // namespace Agent
