#pragma once

#include "ProcessTest.h"

#include <atomic>
#include <mutex>
#include <set>

/// Name of the service whose calls may not be repeated.
inline const std::string desk = "order-desk";

/// What a caller was told about one attempt.
struct Told {
    std::string key;
    std::string requestId;
    std::string outcome;
    int status = 0;
    std::string body;
};

/// A site with one service whose calls may not be repeated, and everything that its callers were told.
class OnceSite
{
public:
    explicit OnceSite(Harness::SitePlan plan);

    /// One attempt at one entry. Thread-safe.
    Told attempt(int entry, const std::string &key, const std::string &body = "{\"order\":1}");

    /// Sends the same key to one entry until it is told `done`; a call that did not run must become free to run.
    void expectEventuallyDone(int entry, const std::string &key);

    /// Executions at one upstream of calls with a key; those of the warm-up have none.
    uint64_t executionsAt(const std::string &agent);

    uint64_t executions();

    /// Waits until every entry routes calls to the service.
    bool waitReady();

    bool waitExecutions(uint64_t count);

    /// States of all claims in the store.
    std::vector<std::string> claimStates() const;

    bool waitClaim(const std::string &state) const;

    void setUpstreams(const std::string &mode);

    void setStore(const nlohmann::json &fault);

    void setProxy(const nlohmann::json &fault);

    /// The agent whose upstream has run a call.
    std::string agentThatRan();

    /// Every key executed at most once over all upstreams, no attempt that was told "not run" has run, and every "done" has run.
    void expectTruth();

    Harness::Site site;
    std::set<std::string> killedUpstreams;

private:
    std::mutex mutex;
    std::vector<Told> all;
    std::atomic<int> attempts{0};
};
