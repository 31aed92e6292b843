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
#include <Services/Agent/NonceMemory.h>
#include <Services/Agent/SwitchRecord.h>
#include <Services/Agent/UpstreamCall.h>
#include <thread>

namespace Agent
{

/// Limits of time of a call, in ms.
struct CallTiming {
    /// A caller that takes longer to accept a part of its answer is cut off.
    AK::Milliseconds callerStallMs = 5'000;
    /// How often ramp, queue and member record are looked at.
    AK::Milliseconds tickMs = 100;
    /// Longest wait of drain().
    AK::Milliseconds drainMs = 120'000;
};

/// Runs the calls of this host's upstream: admits, sends, checks and passes the answer on.
class CallService final : public Kernel::Service, public LibWire::CallHandler, public LibEngine::AdmissionGate
{
public:
    CallService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                LibMembership::MembershipView &membership, LibEngine::EngineState &engine, LibMetrics::MetricRegistry &metrics, CallTiming timing = {});
    ~CallService() override;

    std::string_view name() const override;
    absl::Status start() override;
    /// Refuses new calls with `draining` and waits for those in flight.
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
    struct Permission {
        LibRouting::Refusal reason = LibRouting::Refusal::None;
        std::string fingerprint;
    };

    bool upstreamAllowedNow();
    Permission permit(const Call &call);
    void refuse(const Call &call, LibRouting::Refusal reason, AK::Milliseconds retryAfterMs, std::string_view message, Wire::CallReply::Builder reply);
    void fail(const Call &call, std::string_view message, Wire::CallReply::Builder reply);
    void runAdmitted(const Call &call, const Permission &permission, std::shared_ptr<Slot> slot, Wire::AnswerSink::Client &sink, Wire::CallReply::Builder reply,
                     kj::WaitScope &scope);
    void passOn(const Call &call, UpstreamCall &upstreamCall, Wire::AnswerSink::Client &sink, Wire::CallReply::Builder reply, kj::WaitScope &scope);
    std::string forward(const Call &call, const AnswerPart &part, Wire::AnswerSink::Client &sink, kj::WaitScope &scope);
    std::shared_ptr<UpstreamCall> startReader(const Call &call, const Permission &permission, std::shared_ptr<Slot> slot);
    void fillLoad(Wire::CallReply::Builder reply);
    void watch();
    void tick();

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibEngine::EngineState &engine;
    LibMetrics::MetricRegistry &metrics;
    CallTiming timing;
    LibLog::Logger logger{"calls"};
    HttpUpstream upstream;
    AdmissionControl control;
    NonceMemory nonces;
    SwitchRecord record;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool allowed = false;
    int callsOpen = 0;
    int readers = 0;
    std::thread watcher;
};

} // namespace Agent
