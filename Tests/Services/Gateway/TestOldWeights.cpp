#include "GatewaySite.h"
#include <AK/Text.h>
#include <Clocks/SuspendedClock.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 4'000;
constexpr AK::Milliseconds switchDelay = 300;
constexpr AK::Milliseconds beginLimit = 600;
constexpr int events = 4;
const std::string model = "m";
const std::string newEngine = "i-3";
const std::string comment = ": busy\n\n";

/// What the engine with the older weights does with its request.
enum class OldEngine {
    SendsNothing,
    SendsTheHead,
    SendsAComment,
    /// Sends two events and breaks off; the next request, which resumes the stream, gets nothing.
    BreaksOffOnce,
    /// Sends its events over a time that goes on beyond the limit.
    SendsSlowly,
    /// Sends nothing until after the limit, and has loaded the newer weights meanwhile.
    LoadsMeanwhile,
    /// Sends its whole response after the limit.
    RespondsLate,
};

struct OldWeightsCase {
    const char *name;
    OldEngine engine;
    /// Time from the call until the new weights are named, in ms.
    AK::Milliseconds namedAfter;
    bool withdrawn;
    int maxAttempts = 3;
    int status = 200;
    bool complete = true;
    RouteKind kind = RouteKind::Stream;
    /// Reports of the engine with the older weights show that nothing waits there.
    bool reportsRunning = false;
    /// Another process tells, while the call waits, that the naming was so much earlier, in ms.
    AK::Milliseconds namedEarlierBy = 0;
};

std::string eventTexts(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += AK::concat("id: ", id, "\ndata: word\n\n");
    }
    return text;
}

/// Two engines with the older weights, and one with the newer ones that is registered when the older ones get no more calls.
class RolloutSite
{
public:
    explicit RolloutSite(const OldWeightsCase &row)
        : row(row)
        , oldEngine([this](auto &scope, auto &channel, const auto &head, const auto &) { return this->respondFromOld(scope, channel, head); })
        , site({this->oldEngine, this->oldEngine, [this](auto &scope, auto &channel, const auto &head, const auto &) {
                    return this->send(scope, channel, this->streamHead(head) + this->chunks(firstEvent(head), events) + std::string(LibHttpStream::lastChunk));
                }})
    {
        this->site.configure(row.kind, true, row.maxAttempts, callTimeout);
        LibFleet::Configuration configuration = *this->site.fleet.configuration();
        ++configuration.version;
        configuration.services["s"].engine = LibFleet::EngineSpec{};
        configuration.services["s"].engine->model = model;
        this->site.fleet.setConfiguration(configuration);
        this->site.fleet.setWeightsTargets({{model, 1}}, 0);
        this->site.dispatcher.setBounds({1, 100, 10'000}, switchDelay, beginLimit);
        this->records = this->site.fleet.upstreams();
        for (auto &[id, record] : this->records) {
            record.isEngine = true;
            record.weightsVersion = id == newEngine ? 2 : 1;
        }
        std::map<std::string, LibFleet::UpstreamRecord> oldEngines = this->records;
        oldEngines.erase(newEngine);
        this->site.fleet.setUpstreams(oldEngines);
    }

    ClientResponse call()
    {
        LibFiber::Loop &loop = this->site.loop;
        // The first version is too old to count.
        loop.sleep(loop.rootScope(), beginLimit);
        loop.spawn([this, &loop](kj::WaitScope &scope) {
            loop.sleep(scope, this->row.namedAfter);
            this->site.fleet.setWeightsTargets({{model, 2}}, 0);
            this->namedAt = loop.clock().now();
            this->site.fleet.adoptWeightsTarget({model, 2, this->row.namedEarlierBy});
            loop.sleep(scope, std::max<AK::Milliseconds>(0, switchDelay - this->row.namedEarlierBy));
            // Later than what a report may lag behind.
            loop.sleep(scope, this->row.reportsRunning ? beginLimit - switchDelay - 50 : 0);
            for (const auto &[id, record] : this->records) {
                if (this->row.reportsRunning && record.weightsVersion == 1) {
                    this->site.dispatcher.recordReport({record.address.text(), 1, 1, 0});
                }
            }
            if (this->row.engine == OldEngine::LoadsMeanwhile) {
                for (auto &[id, record] : this->records) {
                    record.weightsVersion = 2;
                }
            }
            this->site.fleet.setUpstreams(this->records);
        });
        return this->site.call({{"X-Deadline-Ms", std::to_string(callTimeout)}});
    }

    /// Monotonic time at which the engine with the older weights saw the end of a call that it had not begun; 0 for never.
    AK::Milliseconds withdrawnAt = 0;
    bool wasReset = false;
    AK::Milliseconds namedAt = 0;

private:
    bool respondFromOld(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head)
    {
        const bool resumes = firstEvent(head) > 1;
        switch (this->row.engine) {
        case OldEngine::SendsTheHead:
            this->send(scope, channel, this->streamHead(head));
            break;
        case OldEngine::SendsAComment:
            this->send(scope, channel, this->streamHead(head) + LibHttpStream::encodeChunk(comment));
            break;
        case OldEngine::BreaksOffOnce:
            if (!resumes) {
                this->send(scope, channel, this->streamHead(head) + this->chunks(1, 2));
                return false;
            }
            break;
        case OldEngine::SendsSlowly:
            this->send(scope, channel, this->streamHead(head));
            for (int id = 1; id <= events; ++id) {
                this->send(scope, channel, this->chunks(id, id));
                this->site.loop.sleep(scope, beginLimit / 2);
            }
            return this->send(scope, channel, std::string(LibHttpStream::lastChunk));
        case OldEngine::RespondsLate:
        case OldEngine::LoadsMeanwhile:
            this->site.loop.sleep(scope, this->row.namedAfter + beginLimit + 200);
            return this->send(scope, channel, this->streamHead(head) + this->chunks(1, events) + std::string(LibHttpStream::lastChunk));
        case OldEngine::SendsNothing:
            break;
        }
        const absl::Status end = channel.fill(scope, this->site.loop.clock().now() + callTimeout);
        this->withdrawnAt = this->site.loop.clock().now();
        this->wasReset = absl::IsUnavailable(end);
        return false;
    }

    bool send(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &text)
    {
        return channel.write(scope, text, this->site.loop.clock().now() + callTimeout).ok();
    }

    static int firstEvent(const LibHttpStream::RequestHead &head)
    {
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        return last == nullptr ? 1 : std::stoi(*last) + 1;
    }

    static std::string streamHead(const LibHttpStream::RequestHead &head)
    {
        return AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"),
                          "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static std::string chunks(int first, int last)
    {
        return LibHttpStream::encodeChunk(eventTexts(first, last));
    }

    const OldWeightsCase &row;
    UpstreamScript oldEngine;
    std::map<std::string, LibFleet::UpstreamRecord> records;
    GatewaySite site;
};

class OldWeightsTest : public testing::TestWithParam<OldWeightsCase>
{
};

// Guards against a call that begins on older weights too late after new ones were named: it had been sent in time to an engine that hung or whose host stood
// still.
TEST_P(OldWeightsTest, WithdrawsACallThatHasNotBegun)
{
    // From the timer to the event at the engine.
    constexpr AK::Milliseconds tolerance = 100;
    const OldWeightsCase &row = GetParam();
    RolloutSite rollout(row);
    const ClientResponse response = rollout.call();
    EXPECT_EQ(response.status, row.status) << response.body;
    EXPECT_EQ(response.complete, row.complete);
    const std::string expected = (row.engine == OldEngine::SendsAComment ? comment : "") + eventTexts(1, events);
    EXPECT_TRUE(!row.complete || row.status != 200 || response.body == expected) << response.body;
    ASSERT_EQ(rollout.withdrawnAt > 0, row.withdrawn);
    if (row.withdrawn) {
        EXPECT_TRUE(rollout.wasReset) << "a host that stands still holds the unread request, and only a reset drops it";
        const AK::Milliseconds limit = beginLimit - row.namedEarlierBy;
        EXPECT_LE(rollout.withdrawnAt - rollout.namedAt, limit + tolerance);
        EXPECT_GE(rollout.withdrawnAt - rollout.namedAt, limit - tolerance);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, OldWeightsTest,
    testing::Values(OldWeightsCase{"nothing_sent", OldEngine::SendsNothing, 0, true}, OldWeightsCase{"named_later", OldEngine::SendsNothing, 500, true},
                    OldWeightsCase{"head_without_event", OldEngine::SendsTheHead, 0, true}, OldWeightsCase{"resumed_stream", OldEngine::BreaksOffOnce, 0, true},
                    OldWeightsCase{"comment_before_the_first_event", OldEngine::SendsAComment, 0, true},
                    OldWeightsCase{"last_attempt", OldEngine::SendsNothing, 0, true, 1, 502, true},
                    OldWeightsCase{"last_attempt_of_a_stream", OldEngine::BreaksOffOnce, 0, true, 2, 200, false},
                    OldWeightsCase{"begun", OldEngine::SendsSlowly, 0, false}, OldWeightsCase{"loaded_meanwhile", OldEngine::LoadsMeanwhile, 0, false},
                    OldWeightsCase{"named_earlier", OldEngine::SendsNothing, 100, true, 3, 200, true, RouteKind::Stream, false, 400},
                    OldWeightsCase{"no_stream", OldEngine::SendsNothing, 0, true, 3, 200, true, RouteKind::Idempotent},
                    OldWeightsCase{"no_stream_that_runs", OldEngine::RespondsLate, 660, false, 3, 200, true, RouteKind::Idempotent, true},
                    OldWeightsCase{"no_stream_with_an_old_report", OldEngine::SendsNothing, 400, true, 3, 200, true, RouteKind::Idempotent, true},
                    OldWeightsCase{"no_stream_that_runs_once", OldEngine::RespondsLate, 0, false, 3, 200, true, RouteKind::AtMostOnce}),
    [](const auto &info) { return std::string(info.param.name); });

struct SuspensionCase {
    const char *name;
    AK::Milliseconds running;
    AK::Milliseconds suspended;
    bool oldAllowed;
    bool mayBegin;
};

class SuspendedEntryTest : public testing::TestWithParam<SuspensionCase>
{
};

// Guards against calls on older weights after the host of the entry was suspended, for which the monotonic clock does not count the age of the new ones.
TEST_P(SuspendedEntryTest, CountsTheAgeOfNewWeights)
{
    SuspendedClock clock;
    LibFleet::FleetState fleet(clock);
    LibFleet::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"].engine = LibFleet::EngineSpec{};
    configuration.services["s"].engine->model = model;
    fleet.setConfiguration(configuration);
    fleet.setWeightsTargets({{model, 1}}, 0);
    Gateway::TableSettings settings;
    settings.weightsSwitchDelay = switchDelay;
    settings.weightsBeginLimit = beginLimit;
    const Gateway::UpstreamTable table(clock, fleet, settings, false);
    clock.running += beginLimit;
    fleet.setWeightsTargets({{model, 2}}, 0);
    LibFleet::UpstreamRecord engine;
    engine.service = "s";
    engine.isEngine = true;
    engine.weightsVersion = 1;
    clock.running += GetParam().running;
    clock.suspended += GetParam().suspended;
    EXPECT_EQ(table.allowsWeights("s", 1), GetParam().oldAllowed);
    EXPECT_EQ(table.timeToBegin(engine, 1) > 0, GetParam().mayBegin);
}

INSTANTIATE_TEST_SUITE_P(Table, SuspendedEntryTest,
                         testing::Values(SuspensionCase{"awake", switchDelay - 1, 0, true, true}, SuspensionCase{"awake_for_long", switchDelay, 0, false, true},
                                         SuspensionCase{"suspended_for_a_moment", 100, 100, true, true},
                                         SuspensionCase{"suspended_to_the_switch", 100, switchDelay, false, true},
                                         SuspensionCase{"suspended_beyond_the_limit", 100, beginLimit, false, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
