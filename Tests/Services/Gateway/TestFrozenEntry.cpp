#include "PauseSite.h"
#include <Gateway/UpstreamNotices.h>
#include <Loopback/ProcessHost.h>
#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace
{

constexpr int slots = 4;
/// The upstream that asks for a pause refuses what arrives in this time after its first request.
constexpr AK::Milliseconds refusingTime = 150;
constexpr AK::Milliseconds responseTime = 100;

/// Two upstreams on a thread of their own, which go on while the entry stands still. The first one refuses its first requests with a pause.
class UpstreamThread
{
public:
    UpstreamThread(uint16_t firstPort, AK::Milliseconds pause)
        : pause(pause)
        , thread([this, firstPort] { this->run(firstPort); })
    {
        while (!this->ready) {
            AK::SystemClock().sleep(1);
        }
    }

    ~UpstreamThread()
    {
        this->stopping = true;
        this->thread.join();
    }

    UpstreamThread(const UpstreamThread &) = delete;
    UpstreamThread &operator=(const UpstreamThread &) = delete;

    /// Arrival times at the first upstream.
    std::vector<AK::Milliseconds> arrivals() const
    {
        const std::lock_guard lock(this->mutex);
        return this->arrivalTimes;
    }

    std::vector<AK::Milliseconds> refusals() const
    {
        const std::lock_guard lock(this->mutex);
        return this->refusalTimes;
    }

    int mostAtOnce() const
    {
        const std::lock_guard lock(this->mutex);
        return this->most;
    }

private:
    void run(uint16_t firstPort)
    {
        LibFiber::Loop loop;
        const auto script = [this, &loop](bool pausing) {
            return [this, &loop, pausing](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
                this->respond(loop, scope, channel, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), pausing);
                return true;
            };
        };
        const FakeUpstream first(loop, firstPort, script(true));
        const FakeUpstream second(loop, firstPort + 1, script(false));
        this->ready = true;
        while (!this->stopping) {
            loop.sleep(loop.rootScope(), 1);
        }
    }

    void respond(LibFiber::Loop &loop, kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &id, bool pausing)
    {
        const bool refuses = pausing && this->noteArrival(loop.clock().now());
        loop.sleep(scope, pausing ? responseTime : 0);
        if (pausing) {
            this->noteEnd(loop.clock().now(), refuses);
        }
        if (refuses) {
            writeResponse(scope, channel, loop, id, 503, "", 0,
                          {{"X-Not-Executed", "1"}, {"Retry-After", AK::concat(static_cast<double>(this->pause) / PauseSite::millisecondsPerSecond)}});
        } else {
            writeResponse(scope, channel, loop, id, 200, "hello", 5);
        }
    }

    /// Returns whether the request is to be refused.
    bool noteArrival(AK::Milliseconds now)
    {
        const std::lock_guard lock(this->mutex);
        this->arrivalTimes.push_back(now);
        this->most = std::max(this->most, ++this->running);
        return now < this->arrivalTimes.front() + refusingTime;
    }

    void noteEnd(AK::Milliseconds now, bool refused)
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        if (refused) {
            this->refusalTimes.push_back(now);
        }
    }

    AK::Milliseconds pause;
    mutable std::mutex mutex;
    std::vector<AK::Milliseconds> arrivalTimes;
    std::vector<AK::Milliseconds> refusalTimes;
    int running = 0;
    int most = 0;
    std::atomic<bool> ready = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

struct FreezeCase {
    const char *name;
    /// Time from the first calls until the entry stands still; the refusals come after `responseTime`.
    AK::Milliseconds freezesAfter;
    AK::Milliseconds freeze;
    AK::Milliseconds pause;
};

class FrozenEntryTest : public testing::TestWithParam<FreezeCase>
{
};

// Guards against an entry that wakes up with calls waiting and sends them to an upstream whose refusal it has not read yet, or whose pause lasts; and against
// one that never comes back to the upstream.
TEST_P(FrozenEntryTest, KeepsThePauseWhenItWakes)
{
    constexpr int waitingAtWake = 50;
    constexpr AK::Milliseconds settleTime = 500;
    static uint16_t port = 17'100;
    port += 2;
    GatewaySite site({});
    site.configure(LibFleet::RouteKind::Idempotent, true, 2, PauseSite::callTimeout);
    UpstreamThread upstreams(port, GetParam().pause);
    std::map<std::string, LibFleet::UpstreamRecord> records;
    for (uint16_t i = 0; i < 2; ++i) {
        LibFleet::UpstreamRecord record;
        record.id = AK::concat("i-", i + 1);
        record.service = "s";
        record.address = {Loopback::processHost(), static_cast<uint16_t>(port + i)};
        record.failureDomain = "lima-1";
        record.slots = slots;
        records[record.id] = record;
    }
    site.fleet.setUpstreams(records);
    LibFiber::Loop &loop = site.loop;
    int calls = 0;
    int ended = 0;
    const auto startCalls = [&](int count) {
        for (int i = 0; i < count; ++i) {
            loop.spawn([&, id = AK::concat("a", ++calls)](kj::WaitScope &scope) {
                site.callFrom(scope, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(PauseSite::callTimeout)}});
                ++ended;
            });
        }
    };
    while (upstreams.arrivals().empty()) {
        startCalls(slots);
        loop.sleep(loop.rootScope(), GetParam().freezesAfter);
    }
    AK::SystemClock().sleep(GetParam().freeze);
    startCalls(waitingAtWake);
    const AK::Milliseconds until = loop.clock().now() + GetParam().pause + 2 * PauseSite::callTimeout;
    const auto returned = [&] {
        const std::vector<AK::Milliseconds> arrivals = upstreams.arrivals();
        return arrivals.back() >= upstreams.refusals().back() + std::max(GetParam().pause, GetParam().freeze);
    };
    while ((upstreams.refusals().empty() || !returned()) && loop.clock().now() < until) {
        startCalls(1);
        loop.sleep(loop.rootScope(), PauseSite::pollInterval);
    }
    EXPECT_TRUE(returned()) << "the upstream is used again";
    while (ended < calls) {
        loop.sleep(loop.rootScope(), PauseSite::pollInterval);
    }
    const std::vector<AK::Milliseconds> arrivals = upstreams.arrivals();
    for (const AK::Milliseconds refusedAt : upstreams.refusals()) {
        const auto inside = std::count_if(arrivals.begin(), arrivals.end(), [&](AK::Milliseconds arrival) {
            return arrival >= refusedAt + settleTime && arrival < refusedAt + GetParam().pause;
        });
        EXPECT_LE(static_cast<size_t>(inside), PauseSite::allowedInPause);
    }
    EXPECT_LE(upstreams.mostAtOnce(), slots);
}

INSTANTIATE_TEST_SUITE_P(Table, FrozenEntryTest,
                         testing::Values(FreezeCase{"with_an_unread_refusal", 50, 700, 2'000}, FreezeCase{"with_an_unread_refusal_of_the_past", 50, 1'800, 800},
                                         FreezeCase{"inside_a_pause", 130, 700, 2'000}, FreezeCase{"beyond_a_pause", 130, 1'800, 800}),
                         [](const auto &info) { return std::string(info.param.name); });

/// A clock that a test sets.
class SetClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->time;
    }
    void sleep(AK::Milliseconds) const override
    {
    }

    AK::Milliseconds time = 1'000;
};

struct FrozenClockCase {
    const char *name;
    /// What the monotonic clock counts of a freeze that is longer than the pause.
    AK::Milliseconds counted;
    bool pausedAfter;
};

class FrozenClockTest : public testing::TestWithParam<FrozenClockCase>
{
};

// Guards against a pause that lasts without end, or for longer than it was asked for by the clock of the entry, after a freeze that the clock did not count.
TEST_P(FrozenClockTest, EndsThePauseByTheClockOfTheEntry)
{
    constexpr AK::Milliseconds pause = 2'000;
    SetClock clock;
    const LibFleet::FleetState fleet(clock);
    Gateway::UpstreamNotices notices(clock, fleet);
    LibFleet::UpstreamRecord record;
    record.id = "i-1";
    record.slots = slots;
    LibGateway::ResponseInfo response;
    response.pause = pause;
    notices.record(record, response);
    const AK::Milliseconds askedAt = clock.time;
    clock.time += GetParam().counted;
    EXPECT_EQ(notices.pausedUntil(record) > clock.time, GetParam().pausedAfter);
    EXPECT_EQ(notices.isResuming(record, 0), GetParam().pausedAfter);
    clock.time = askedAt + pause + notices.pauseSettings().resumeSpread;
    EXPECT_LE(notices.pausedUntil(record), clock.time);
    EXPECT_FALSE(notices.isResuming(record, 0));
}

INSTANTIATE_TEST_SUITE_P(Table, FrozenClockTest,
                         testing::Values(FrozenClockCase{"counted", 5'000, false}, FrozenClockCase{"counted_in_part", 500, true},
                                         FrozenClockCase{"not_counted", 0, true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
