#pragma once

#include <Kernel/Service.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibEngine/EngineState.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/RpcServer.h>
#include <Services/Agent/AdmissionControl.h>
#include <Services/Agent/HttpUpstream.h>
#include <Services/Agent/NonceCache.h>
#include <Services/Agent/SwitchStatistics.h>
#include <Services/Agent/UpstreamCall.h>
#include <thread>

namespace Agent
{

/// Time limits and intervals of the CallService.
struct CallTiming {
    /// A call fails when its caller takes longer to accept a part of the response.
    AK::Milliseconds callerStallMs = 5'000;
    /// Interval at which ramp, queue and member record are updated.
    AK::Milliseconds tickMs = 100;
    /// Maximum wait of drain().
    AK::Milliseconds drainMs = 120'000;
};

/// Runs the calls to the upstream of this host: admits them, sends them, checks the responses and forwards them to the caller.
class CallService final : public Kernel::Service, public LibWire::CallHandler, public LibEngine::AdmissionGate
{
public:
    CallService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                LibMembership::MembershipView &membership, LibEngine::EngineState &engine, LibMetrics::MetricRegistry &metrics, CallTiming timing = {});
    ~CallService() override;

    std::string_view name() const override;
    absl::Status start() override;
    /// Refuses new calls with `draining` and waits for the calls in flight, at most CallTiming::drainMs.
    void drain() override;
    void stop() override;

    void call(Wire::CallRequest::Reader request, Wire::AnswerSink::Client sink, Wire::CallReply::Builder reply, kj::WaitScope &scope) override;

    void closeForSwitch() override;
    bool waitDrained(AK::Milliseconds timeout) override;
    void reopen() override;
    int callsInFlight() const override;

private:
    struct Call;
    class CallGuard;
    /// Whether the upstream may run a call now, and the fingerprint that the response must carry.
    struct UpstreamCheck {
        LibRouting::Refusal reason = LibRouting::Refusal::None;
        std::string fingerprint;
    };

    bool upstreamAllowedNow();
    UpstreamCheck checkUpstream(const Call &call);
    void refuse(const Call &call, LibRouting::Refusal reason, AK::Milliseconds retryAfterMs, std::string_view message, Wire::CallReply::Builder reply);
    void fail(const Call &call, std::string_view message, Wire::CallReply::Builder reply);
    void runAdmitted(const Call &call, const UpstreamCheck &upstreamCheck, std::shared_ptr<Slot> slot, Wire::AnswerSink::Client &sink,
                     Wire::CallReply::Builder reply, kj::WaitScope &scope);
    void forwardResponse(const Call &call, UpstreamCall &upstreamCall, Wire::AnswerSink::Client &sink, Wire::CallReply::Builder reply, kj::WaitScope &scope);
    std::string forwardPart(const Call &call, const ResponsePart &part, Wire::AnswerSink::Client &sink, kj::WaitScope &scope);
    std::shared_ptr<UpstreamCall> startReader(const Call &call, const UpstreamCheck &upstreamCheck, std::shared_ptr<Slot> slot);
    void fillLoad(Wire::CallReply::Builder reply);
    void runTicks();
    void tick();

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibEngine::EngineState &engine;
    LibMetrics::MetricRegistry &metrics;
    CallTiming timing;
    LibLog::Logger logger{"calls"};
    HttpUpstream upstream;
    AdmissionControl admission;
    NonceCache usedNonces;
    SwitchStatistics switchStatistics;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool upstreamWasAllowed = false;
    int openCalls = 0;
    int readerCount = 0;
    std::thread tickThread;
};

} // namespace Agent
