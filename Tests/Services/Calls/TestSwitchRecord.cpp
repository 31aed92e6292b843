#include "Site.h"

#include <thread>

namespace
{

struct CountingMembers final : public LibMembership::MembershipView {
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

// Guards against gossip traffic that grows with the calls, and against counts of the old weights that stop or allow a wave.
TEST(SwitchRecord, LimitsUpdatesAndStartsAnewWithARoot)
{
    CountingMembers members;
    Agent::SwitchRecord record(members);
    record.observeRoot("a");
    for (AK::Milliseconds now = 0; now < 2'000; now += 10) {
        record.count(now % 100 == 0);
        record.publish(false, now);
    }
    EXPECT_EQ(members.updates, 4U);
    record.publish(true, 2'000);
    record.publish(false, 2'001);
    EXPECT_EQ(members.updates, 6U) << "a change of warm is spread at once";
    EXPECT_EQ(members.self.callsSinceSwitch, 200U);
    EXPECT_EQ(members.self.errorsSinceSwitch, 20U);
    record.observeRoot("b");
    record.publish(false, 2'501);
    EXPECT_EQ(members.self.callsSinceSwitch, 0U);
}

// Guards against a shutdown that interrupts a call: drain() returns only after the call in flight has been answered, and that answer is whole.
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
        site.calls->drain();
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

// Guards against a dead agent failing calls that another upstream could take: the connection is refused before start, so the call moves on.
TEST(EngineFailover, UnreachableAgentIsSkippedAndReported)
{
    TestSite::Site site(
        LibSettings::UpstreamKind::Engine,
        [](LibHttp::HttpExchange &exchange) {
            exchange.respond(LibHttp::jsonResponse(200, AK::concat(R"({"system_fingerprint":")", TestSite::fingerprint, R"("})")));
        },
        2);
    LibMembership::Member dead = site.members.list[0];
    // The live upstream is in another region, so that each call tries the dead one first. With both near, a hint that says "idle" after the first call sent all
    // others to the live one (30 of 30 on a busy machine).
    site.document.site.failureDomains["madrid"] = {"spain", true};
    site.document.site.upstreams["w1"].failureDomain = "madrid";
    site.members.list[0].failureDomain = "madrid";
    site.members.list[0].region = "spain";
    dead.name = "w2";
    dead.rpcAddress = TestSite::endpoint(2, 7200);
    site.members.list.push_back(dead);
    site.document.site.upstreams["w2"] = {"svc", "lima", true};
    site.configurations.set(site.document);
    for (int i = 0; i < 30; ++i) {
        const auto response = site.post("/v1/completions", R"({"model":"svc"})");
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
    }
    EXPECT_GT(site.members.unreachable, 0);
}

} // namespace
