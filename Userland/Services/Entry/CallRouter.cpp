#include <Services/Entry/CallRouter.h>

#include <AK/Text.h>
#include <algorithm>
#include <set>

namespace Entry
{

using Kind = AttemptResult::Kind;

/// State of one call over its attempts.
struct CallRouter::Progress {
    /// Names of the upstreams that were tried.
    std::set<std::string> tried;
    int refusals = 0;
    int attempts = 0;
    /// An attempt failed that may have started the call.
    bool mayHaveStarted = false;
    /// The next attempt may be queued by the agent.
    bool queueAllowed = false;
    AttemptResult last;
    std::string lastUpstream;
    std::string lastVersion;
};

CallRouter::CallRouter(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                       LibMembership::MembershipView &membership, RoutingState &routingState, LibWire::RpcIdentity identity,
                       LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , membership(membership)
    , routingState(routingState)
    , identity(std::move(identity))
    , metrics(metrics)
{
}

RouteResult CallRouter::route(EntryCall &call, CallerResponse &callerResponse, const LibHttp::HttpHeaders &responseHeaders)
{
    Progress progress;
    while (this->clock.now() < std::min(call.deadline, call.startBefore)) {
        const std::optional<LibRouting::Candidate> candidate = this->nextCandidate(call, progress);
        if (!candidate) {
            break;
        }
        LibHttp::HttpHeaders headers = responseHeaders;
        if (!candidate->version.empty()) {
            headers["x-catkinlink-version"] = candidate->version;
        }
        callerResponse.setStreamHeaders(std::move(headers));
        if (progress.attempts++ == 0) {
            this->routingState.countFirstAttempt(call.account, candidate->name);
        }
        const AttemptResult attempt =
            attemptCall(call, *candidate, progress.queueAllowed, this->identity, this->clock, this->settings.timing.rpcTimeoutMs, callerResponse);
        this->metrics.add("catkinlink_entry_attempts_total", {{"service", call.service}});
        if (attempt.load) {
            this->routingState.storeHint(candidate->name, *attempt.load);
        }
        if (attempt.unreachable) {
            this->membership.reportUnreachable(candidate->name);
        }
        progress.last = attempt;
        progress.lastUpstream = candidate->name;
        progress.lastVersion = candidate->version;
        if (attempt.kind == Kind::Complete) {
            return {LibOnce::Outcome::Done, LibRouting::Refusal::None, {}, {}, 0, candidate->version, candidate->name};
        }
        if (!this->handleFailedAttempt(call, *candidate, attempt, callerResponse, progress)) {
            break;
        }
    }
    return this->failureResult(call, progress);
}

// Reads the latest configuration and members for each attempt, so that a failure domain that was taken out of service meanwhile gets no retry.
std::optional<LibRouting::Candidate> CallRouter::nextCandidate(EntryCall &call, Progress &progress)
{
    call.configuration = this->configuration.current();
    std::vector<LibRouting::Candidate> all = LibRouting::candidatesOf(*call.configuration, this->membership.members(), call.service, this->clock.wallTime());
    std::vector<LibRouting::Candidate> untried;
    for (const auto &candidate : all) {
        if (!progress.tried.contains(candidate.name)) {
            untried.push_back(candidate);
        }
    }
    // Only the last attempt may be queued; earlier ones are refused when the agent has no free slot. Calls that may not be repeated are never queued, because
    // their dispatch has a time limit that the wait in a queue would exceed.
    const bool last = untried.size() <= 1 || progress.refusals + 1 >= LibRouting::refusalLimit;
    progress.queueAllowed = last && call.repeatable;
    std::vector<LibRouting::Candidate> &pool = untried.empty() && progress.last.reason == LibRouting::Refusal::Overloaded && call.repeatable ? all : untried;
    this->routingState.addHints(pool);
    const LibRouting::ChoiceContext context{this->settings.region, this->settings.failureDomain, progress.attempts == 0 ? call.prefix : std::string_view()};
    const std::optional<size_t> chosen = this->routingState.choose(pool, context, this->clock.now());
    if (!chosen) {
        return std::nullopt;
    }
    progress.tried.insert(pool[*chosen].name);
    return pool[*chosen];
}

// Records a refused or failed attempt. Returns whether another upstream is tried.
bool CallRouter::handleFailedAttempt(const EntryCall &call, const LibRouting::Candidate &candidate, const AttemptResult &attempt,
                                     const CallerResponse &callerResponse, Progress &progress)
{
    const bool refused = attempt.kind == Kind::Refused;
    progress.refusals += refused ? 1 : 0;
    progress.mayHaveStarted = progress.mayHaveStarted || !refused;
    const std::string_view reason = refused ? AK::nameOf(LibRouting::refusalNames, attempt.reason) : "failed";
    if (refused) {
        this->metrics.add("catkinlink_entry_refusals_total", {{"reason", std::string(reason)}});
    }
    const LibRouting::FailedAttempt failedAttempt{refused, call.repeatable && !callerResponse.callerDisconnected(), callerResponse.sentToCaller(),
                                                  progress.refusals};
    const bool retry = this->routingState.decideRetry(call.account, candidate.name, failedAttempt) == LibRouting::RetryDecision::TryAnother;
    this->logger.info(refused ? "attempt_refused" : "attempt_failed",
                      {{"request_id", call.requestId},
                       {"account", call.account},
                       {"upstream", candidate.name},
                       {"version", candidate.version},
                       {"revision", call.configuration->revision.number},
                       {"reason", reason},
                       {"message", attempt.message},
                       {"retry", retry}});
    return retry;
}

RouteResult CallRouter::failureResult(const EntryCall &call, const Progress &progress) const
{
    RouteResult result;
    result.outcome = progress.mayHaveStarted ? LibOnce::Outcome::Unknown : LibOnce::Outcome::NotRun;
    result.upstream = progress.lastUpstream;
    result.version = progress.lastVersion;
    result.retryAfterMs = std::max<AK::Milliseconds>(progress.last.retryAfterMs, 100);
    result.refusal = progress.last.reason;
    const bool deadlinePassed = this->clock.now() >= call.deadline;
    if (progress.attempts == 0) {
        result.reason = deadlinePassed ? "deadline" : "no_upstream";
        result.message = AK::concat("no upstream of service ", call.service, " can take the call");
    } else if (progress.mayHaveStarted) {
        result.reason = deadlinePassed ? "deadline" : "attempt_failed";
        result.message = AK::concat("upstream ", progress.lastUpstream, ": ", progress.last.message);
    } else {
        result.reason = deadlinePassed ? "deadline" : std::string(AK::nameOf(LibRouting::refusalNames, progress.last.reason));
        result.message = AK::concat("refused by ", progress.attempts, " upstreams, last by ", progress.lastUpstream, ": ", progress.last.message);
    }
    return result;
}

} // namespace Entry
