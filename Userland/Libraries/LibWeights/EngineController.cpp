#include <LibWeights/EngineController.h>

#include <AK/Text.h>
#include <LibWeights/Manifest.h>
#include <LibWeights/Wave.h>
#include <algorithm>

namespace LibWeights
{

namespace
{

// Interval at which a drain checks for a stop or a changed configuration.
constexpr AK::Milliseconds drainCheckIntervalMs = 200;
// The engine answers a load command only after it has read all files.
constexpr AK::Milliseconds loadTimeoutMs = 300'000;
// Pause after a load that did not result in the target root.
constexpr AK::Milliseconds retryDelayMs = 1'000;
constexpr int fencingCounterBits = 20;
constexpr uint64_t fencingCounterLimit = (uint64_t{1} << fencingCounterBits) - 1;

} // namespace

EngineAction chooseEngineAction(const EngineActionInput &input)
{
    if (input.ready && input.root == input.targetRoot) {
        return EngineAction::ConfirmTarget;
    }
    if (input.targetHeld && input.waveDue && !input.loading) {
        return EngineAction::Switch;
    }
    if (input.ready && !input.previousRoot.empty() && input.root == input.previousRoot) {
        return EngineAction::ConfirmPrevious;
    }
    return EngineAction::MarkUnverified;
}

EngineController::EngineController(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                                   LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate,
                                   LibEngine::Engine &engine, LibMetrics::MetricRegistry &metrics, std::function<bool(const std::string &)> holdsAll)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , membership(membership)
    , state(state)
    , gate(gate)
    , engine(engine)
    , metrics(metrics)
    , holdsAll(std::move(holdsAll))
{
}

bool EngineController::isWaveDue(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service) const
{
    // Without previous weights there is no capacity that waves would have to preserve.
    if (!service.previous) {
        return !service.rollout.paused;
    }
    std::vector<WaveMember> members;
    for (const auto &[name, upstream] : configuration.site.upstreams) {
        if (upstream.service != this->settings.agent.service) {
            continue;
        }
        const auto member = this->membership.find(name);
        if (!member) {
            members.push_back({name, false, "", 0, 0});
            continue;
        }
        const bool present = member->status == LibMembership::MemberStatus::Alive || member->status == LibMembership::MemberStatus::Suspect;
        members.push_back({name, present, member->weightsRoot, member->callsSinceSwitch, member->errorsSinceSwitch});
    }
    return maySwitch(this->settings.name, service.target->root, members, service.rollout);
}

EngineActionInput EngineController::actionInput(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service,
                                                const LibEngine::EngineStatus &status) const
{
    EngineActionInput input;
    input.ready = status.ready;
    input.loading = status.loading;
    input.root = status.root;
    input.targetRoot = service.target->root;
    input.previousRoot = service.previous ? service.previous->root : "";
    input.targetHeld = this->holdsAll(service.target->root);
    input.waveDue = input.targetHeld && this->isWaveDue(configuration, service);
    return input;
}

void EngineController::publishState(LibMembership::ServingState serving, const std::string &root, const std::string &target)
{
    this->membership.updateSelf([&](LibMembership::Member &self) {
        self.servingState = serving;
        self.weightsRoot = root;
        self.targetRoot = target;
    });
}

void EngineController::confirm(const LibEngine::EngineStatus &status, AK::Milliseconds readAt)
{
    this->state.confirm({status.root, status.fingerprint(), status.slots, readAt});
    if (this->gateClosed) {
        this->gateClosed = false;
        this->gate.reopen();
    }
}

void EngineController::step(const std::function<bool()> &stopped)
{
    const auto current = this->configuration.current();
    if (!current) {
        return;
    }
    const auto service = current->site.services.find(this->settings.agent.service);
    if (service == current->site.services.end() || !service->second.target) {
        this->state.markUnverified();
        this->publishState(LibMembership::ServingState::None, "", "");
        return;
    }
    const LibSettings::WeightsTarget &target = *service->second.target;
    const bool targetHeld = this->holdsAll(target.root);
    const auto waitingState = targetHeld ? LibMembership::ServingState::Ready : LibMembership::ServingState::Fetching;
    // Taken before the status read, so that the age of the verified state is never underestimated.
    const AK::Milliseconds readAt = this->clock.now();
    const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
    if (!status.ok()) {
        this->state.markUnverified();
        this->publishState(waitingState, "", target.root);
        return;
    }
    switch (chooseEngineAction(this->actionInput(*current, service->second, *status))) {
    case EngineAction::ConfirmTarget:
        this->confirm(*status, readAt);
        this->publishState(LibMembership::ServingState::Serving, status->root, "");
        return;
    case EngineAction::ConfirmPrevious:
        this->confirm(*status, readAt);
        this->publishState(waitingState, status->root, target.root);
        return;
    case EngineAction::MarkUnverified:
        this->state.markUnverified();
        this->publishState(waitingState, "", target.root);
        return;
    case EngineAction::Switch:
        if (readAt >= this->retryAt) {
            this->switchTo(*current, target, *status, stopped);
        }
        return;
    }
}

bool EngineController::isStillTarget(const LibSettings::WeightsTarget &target) const
{
    const auto current = this->configuration.current();
    const auto service = current->site.services.find(this->settings.agent.service);
    return service != current->site.services.end() && service->second.target == target && !service->second.rollout.paused;
}

bool EngineController::drain(const LibSettings::WeightsTarget &target, const std::function<bool()> &stopped)
{
    this->gate.closeForSwitch();
    this->gateClosed = true;
    while (!this->gate.waitDrained(drainCheckIntervalMs)) {
        if (stopped() || !this->isStillTarget(target)) {
            return false;
        }
        // Calls in flight are still checked against the verified state, so it is refreshed until they have finished.
        const auto verified = this->state.verified(this->clock.now(), INT64_MAX);
        const AK::Milliseconds readAt = this->clock.now();
        const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
        if (verified && status.ok() && status->ready && status->fingerprint() == verified->fingerprint) {
            this->state.confirm({status->root, status->fingerprint(), status->slots, readAt});
        }
    }
    return !stopped() && this->isStillTarget(target);
}

void EngineController::switchTo(const LibConfiguration::Configuration &configuration, const LibSettings::WeightsTarget &target,
                                const LibEngine::EngineStatus &statusBefore, const std::function<bool()> &stopped)
{
    if (!this->drain(target, stopped)) {
        return;
    }
    this->state.markUnverified();
    this->publishState(LibMembership::ServingState::Loading, "", target.root);
    const std::string url =
        AK::concat("http://", this->settings.httpAddress.text(), weightsPath(target.model, target.adapter, target.version), "/manifest.json");
    if (this->commandRevision != configuration.revision.number) {
        this->commandRevision = configuration.revision.number;
        this->commandCount = 0;
    }
    this->commandCount = std::min(this->commandCount + 1, fencingCounterLimit);
    const uint64_t token = (configuration.revision.number << fencingCounterBits) + this->commandCount;
    const absl::Status loadResult = this->engine.load({token, target.model, target.adapter, target.version, url}, loadTimeoutMs);
    this->metrics.add("catkinlink_engine_loads_total", {{"answer", loadResult.ok() ? "ok" : "failed"}});
    while (!stopped()) {
        const AK::Milliseconds readAt = this->clock.now();
        const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
        const bool changed = status.ok() && (status->instance != statusBefore.instance || status->generation > statusBefore.generation);
        if (changed && status->ready && status->root == target.root) {
            this->confirm(*status, readAt);
            this->publishState(LibMembership::ServingState::Serving, status->root, "");
            return;
        }
        if (!status.ok() || !status->loading) {
            break;
        }
        this->clock.sleep(this->settings.timing.statusPollMs);
    }
    this->logger.warning("load_not_verified", {{"root", target.root}, {"answer", std::string(loadResult.message())}});
    if (absl::IsFailedPrecondition(loadResult)) {
        // An earlier agent process on this host may have sent commands in the same revision. The engine does not report its greatest token; doubling the
        // counter exceeds it after at most 20 refusals and never reaches the tokens of the next revision.
        this->commandCount = std::min(2 * this->commandCount, fencingCounterLimit);
    }
    this->retryAt = this->clock.now() + retryDelayMs;
}

} // namespace LibWeights
