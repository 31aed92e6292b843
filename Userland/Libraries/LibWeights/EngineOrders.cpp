#include <LibWeights/EngineOrders.h>

#include <AK/Text.h>
#include <LibWeights/Manifest.h>
#include <LibWeights/Wave.h>
#include <algorithm>

namespace LibWeights
{

namespace
{

// Bounds one wait for calls to finish, so that a change of the configuration is noticed meanwhile.
constexpr AK::Milliseconds drainSliceMs = 200;
// The answer to a load comes after the engine has read all files.
constexpr AK::Milliseconds loadTimeoutMs = 300'000;
// Pause after an order that did not lead to the wanted root.
constexpr AK::Milliseconds retryPauseMs = 1'000;
constexpr int fencingCounterBits = 20;
constexpr uint64_t fencingCounterLimit = (uint64_t{1} << fencingCounterBits) - 1;

} // namespace

OrderAction chooseOrder(const OrderInput &input)
{
    if (input.ready && input.root == input.targetRoot) {
        return OrderAction::ConfirmTarget;
    }
    if (input.held && input.due && !input.loading) {
        return OrderAction::Switch;
    }
    if (input.ready && !input.previousRoot.empty() && input.root == input.previousRoot) {
        return OrderAction::ConfirmPrevious;
    }
    return OrderAction::MarkUnverified;
}

EngineOrders::EngineOrders(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                           LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate, LibEngine::Engine &engine,
                           LibMetrics::MetricRegistry &metrics, std::function<bool(const std::string &)> holdsAll)
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

bool EngineOrders::waveDue(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service) const
{
    // Without previous weights nothing is served that a wave could protect.
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

OrderInput EngineOrders::describe(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service,
                                  const LibEngine::EngineStatus &status) const
{
    OrderInput input;
    input.ready = status.ready;
    input.loading = status.loading;
    input.root = status.root;
    input.targetRoot = service.target->root;
    input.previousRoot = service.previous ? service.previous->root : "";
    input.held = this->holdsAll(service.target->root);
    input.due = input.held && this->waveDue(configuration, service);
    return input;
}

void EngineOrders::publish(LibMembership::ServingState serving, const std::string &root, const std::string &target)
{
    this->membership.updateSelf([&](LibMembership::Member &self) {
        self.servingState = serving;
        self.weightsRoot = root;
        self.targetRoot = target;
    });
}

void EngineOrders::confirm(const LibEngine::EngineStatus &status, AK::Milliseconds readAt)
{
    this->state.confirm({status.root, status.fingerprint(), status.slots, readAt});
    if (this->gateClosed) {
        this->gateClosed = false;
        this->gate.reopen();
    }
}

void EngineOrders::step(const std::function<bool()> &stopped)
{
    const auto current = this->configuration.current();
    if (!current) {
        return;
    }
    const auto service = current->site.services.find(this->settings.agent.service);
    if (service == current->site.services.end() || !service->second.target) {
        this->state.markUnverified();
        this->publish(LibMembership::ServingState::None, "", "");
        return;
    }
    const LibSettings::WeightsTarget &target = *service->second.target;
    const bool held = this->holdsAll(target.root);
    const auto waiting = held ? LibMembership::ServingState::Ready : LibMembership::ServingState::Fetching;
    // Taken before the read, so that the age of the state counts from a moment at which it was still true.
    const AK::Milliseconds readAt = this->clock.now();
    const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
    if (!status.ok()) {
        this->state.markUnverified();
        this->publish(waiting, "", target.root);
        return;
    }
    switch (chooseOrder(this->describe(*current, service->second, *status))) {
    case OrderAction::ConfirmTarget:
        this->confirm(*status, readAt);
        this->publish(LibMembership::ServingState::Serving, status->root, "");
        return;
    case OrderAction::ConfirmPrevious:
        this->confirm(*status, readAt);
        this->publish(waiting, status->root, target.root);
        return;
    case OrderAction::MarkUnverified:
        this->state.markUnverified();
        this->publish(waiting, "", target.root);
        return;
    case OrderAction::Switch:
        if (readAt >= this->retryAt) {
            this->switchTo(*current, target, *status, stopped);
        }
        return;
    }
}

bool EngineOrders::stillWanted(const LibSettings::WeightsTarget &target) const
{
    const auto current = this->configuration.current();
    const auto service = current->site.services.find(this->settings.agent.service);
    return service != current->site.services.end() && service->second.target == target && !service->second.rollout.paused;
}

bool EngineOrders::drain(const LibSettings::WeightsTarget &target, const std::function<bool()> &stopped)
{
    this->gate.closeForSwitch();
    this->gateClosed = true;
    while (!this->gate.waitDrained(drainSliceMs)) {
        if (stopped() || !this->stillWanted(target)) {
            return false;
        }
        // Calls in flight are still checked against the verified state, so it is kept up to date while they finish.
        const auto verified = this->state.verified(this->clock.now(), INT64_MAX);
        const AK::Milliseconds readAt = this->clock.now();
        const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
        if (verified && status.ok() && status->ready && status->fingerprint() == verified->fingerprint) {
            this->state.confirm({status->root, status->fingerprint(), status->slots, readAt});
        }
    }
    return !stopped() && this->stillWanted(target);
}

void EngineOrders::switchTo(const LibConfiguration::Configuration &configuration, const LibSettings::WeightsTarget &target,
                            const LibEngine::EngineStatus &before, const std::function<bool()> &stopped)
{
    if (!this->drain(target, stopped)) {
        return;
    }
    this->state.markUnverified();
    this->publish(LibMembership::ServingState::Loading, "", target.root);
    const std::string url =
        AK::concat("http://", this->settings.httpAddress.text(), weightsPath(target.model, target.adapter, target.version), "/manifest.json");
    if (this->orderRevision != configuration.revision.number) {
        this->orderRevision = configuration.revision.number;
        this->orders = 0;
    }
    this->orders = std::min(this->orders + 1, fencingCounterLimit);
    const uint64_t token = (configuration.revision.number << fencingCounterBits) + this->orders;
    const absl::Status answer = this->engine.load({token, target.model, target.adapter, target.version, url}, loadTimeoutMs);
    this->metrics.add("catkinlink_engine_loads_total", {{"answer", answer.ok() ? "ok" : "failed"}});
    while (!stopped()) {
        const AK::Milliseconds readAt = this->clock.now();
        const auto status = this->engine.status(this->settings.timing.rpcTimeoutMs);
        const bool changed = status.ok() && (status->instance != before.instance || status->generation > before.generation);
        if (changed && status->ready && status->root == target.root) {
            this->confirm(*status, readAt);
            this->publish(LibMembership::ServingState::Serving, status->root, "");
            return;
        }
        if (!status.ok() || !status->loading) {
            break;
        }
        this->clock.sleep(this->settings.timing.statusPollMs);
    }
    this->logger.warning("load_not_verified", {{"root", target.root}, {"answer", std::string(answer.message())}});
    if (absl::IsFailedPrecondition(answer)) {
        // An earlier agent on this host may have given orders in the same revision. The engine does not tell its greatest token; doubling passes it
        // after at most 20 refusals and never reaches the tokens of the next revision.
        this->orders = std::min(2 * this->orders, fencingCounterLimit);
    }
    this->retryAt = this->clock.now() + retryPauseMs;
}

} // namespace LibWeights
