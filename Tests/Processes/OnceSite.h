#pragma once

#include "ProcessTest.h"

#include <atomic>
#include <mutex>
#include <set>

/// Name of the service whose calls may not be repeated.
inline const std::string orderDeskName = "order-desk";

/// Result of one attempt as its caller received it.
struct AttemptResult {
    std::string key;
    std::string requestId;
    /// X-Catkinlink-Outcome of the response; without a response "not_run" if the request was not sent, otherwise "unknown".
    std::string outcome;
    /// HTTP status; 0 without a response.
    int status = 0;
    std::string body;
};

/// A site with one service whose calls may not be repeated. Records the results of all attempts.
class OnceSite
{
public:
    explicit OnceSite(Harness::SitePlan plan);

    /// Makes one attempt at one entry. Thread-safe.
    AttemptResult attempt(int entry, const std::string &key, const std::string &body = "{\"order\":1}");

    /// Sends the same key to one entry until its outcome is "done". Checks that a call that was not executed can be made later.
    void expectEventuallyDone(int entry, const std::string &key);

    /// Number of executed calls with an idempotency key at one upstream. The requests of waitUntilReady() have no key and are not counted.
    uint64_t executionsAt(const std::string &agent);

    /// The same number over all upstreams.
    uint64_t executions();

    /// Waits until every entry routes calls to the service.
    bool waitUntilReady();

    bool waitForExecutions(uint64_t count);

    /// States of all claims in the object API.
    std::vector<std::string> claimStates() const;

    /// Waits until a claim has the state.
    bool waitForClaim(const std::string &state) const;

    /// Set the fault of all upstreams, of the object API and of the proxy in front of it.
    void setUpstreamFaults(const std::string &mode);

    void setStoreFault(const nlohmann::json &fault);

    void setProxyFault(const nlohmann::json &fault);

    /// The agent whose upstream has executed a call; empty when there is none.
    std::string agentThatExecuted();

    /// Checks that each key was executed at most once over all upstreams, that no attempt with the outcome "not_run" was executed and that every key with the
    /// outcome "done" was.
    void expectOutcomesMatchExecutions();

    Harness::Site site;
    std::set<std::string> killedUpstreams;

private:
    std::mutex mutex;
    std::vector<AttemptResult> results;
    std::atomic<int> attemptCount{0};
};
