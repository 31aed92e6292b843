#include "Site.h"

#include <thread>

namespace
{

struct CountingMembership final : public LibMembership::MembershipView {
    std::vector<LibMembership::Member> members() const override
    {
        return {this->self};
    }
    std::optional<LibMembership::Member> find(const std::string &) const override
    {
        return this->self;
    }
    uint64_t changeCount() const override
    {
        return this->updates;
    }
    void updateSelf(const std::function<void(LibMembership::Member &)> &change) override
    {
        ++this->updates;
        change(this->self);
    }
    void reportUnreachable(const std::string &) override
    {
    }
    LibMembership::Member self;
    uint64_t updates = 0;
};

// Guards against gossip traffic that grows with the number of calls, and against counts of the previous weights that stop or allow a rollout wave.
TEST(SwitchStatistics, LimitsUpdatesAndResetsCountsForANewRoot)
{
    CountingMembership membership;
    Agent::SwitchStatistics statistics(membership);
    statistics.observeRoot("a");
    for (AK::Milliseconds now = 0; now < 2'000; now += 10) {
        statistics.count(now % 100 == 0);
        statistics.publish(false, now);
    }
    EXPECT_EQ(membership.updates, 4U);
    statistics.publish(true, 2'000);
    statistics.publish(false, 2'001);
    EXPECT_EQ(membership.updates, 6U) << "a change of warm is published immediately";
    EXPECT_EQ(membership.self.callsSinceSwitch, 200U);
    EXPECT_EQ(membership.self.errorsSinceSwitch, 20U);
    statistics.observeRoot("b");
    statistics.publish(false, 2'501);
    EXPECT_EQ(membership.self.callsSinceSwitch, 0U);
}

// Guards against a shutdown that interrupts a call: drain() returns only after the call in flight has been answered, and its response is complete.
TEST(EngineDrain, WaitsForCallsInFlight)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool arrived = false;
    bool release = false;
    TestSite::Site site(
        LibSettings::UpstreamKind::Engine,
        [&](LibHttp::HttpExchange &exchange) {
            std::unique_lock lock(mutex);
            arrived = true;
            changed.notify_all();
            changed.wait(lock, [&] { return release; });
            exchange.respond(LibHttp::jsonResponse(200, AK::concat(R"({"system_fingerprint":")", TestSite::fingerprint, R"("})")));
        },
        2);
    absl::StatusOr<LibHttp::HttpResponse> response = absl::UnknownError("not run");
    std::thread caller([&] { response = site.post("/v1/completions", R"({"model":"svc","prompt":"p"})"); });
    std::atomic<bool> drained{false};
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return arrived; });
    }
    std::thread drain([&] {
        site.callService->drain();
        drained = true;
    });
    // A refusal shows that the drain has begun.
    while (site.post("/v1/completions", R"({"model":"svc","prompt":"q"})", {{"x-deadline-ms", "300"}})->body.find("draining") == std::string::npos) {}
    EXPECT_FALSE(drained);
    {
        const std::lock_guard lock(mutex);
        release = true;
        changed.notify_all();
    }
    caller.join();
    drain.join();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200);
}

// Guards against calls that fail because of a dead agent although another upstream could take them: the connection fails before the call has started, so
// another upstream is tried.
TEST(EngineFailover, UnreachableAgentIsSkippedAndReported)
{
    TestSite::Site site(
        LibSettings::UpstreamKind::Engine,
        [](LibHttp::HttpExchange &exchange) {
            exchange.respond(LibHttp::jsonResponse(200, AK::concat(R"({"system_fingerprint":")", TestSite::fingerprint, R"("})")));
        },
        2);
    LibMembership::Member dead = site.membership.list[0];
    // The live upstream is in another region, so that each call tries the dead one first. With both in the same region, the load hint of the first call (idle)
    // sent all other calls to the live one (30 of 30 on a loaded machine).
    site.configuration.site.failureDomains["madrid"] = {"spain", true};
    site.configuration.site.upstreams["w1"].failureDomain = "madrid";
    site.membership.list[0].failureDomain = "madrid";
    site.membership.list[0].region = "spain";
    dead.name = "w2";
    dead.rpcAddress = TestSite::endpoint(2, 7200);
    site.membership.list.push_back(dead);
    site.configuration.site.upstreams["w2"] = {"svc", "lima", true};
    site.configurationView.set(site.configuration);
    for (int i = 0; i < 30; ++i) {
        const auto response = site.post("/v1/completions", R"({"model":"svc"})");
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
    }
    EXPECT_GT(site.membership.unreachableReports, 0);
}

} // namespace
