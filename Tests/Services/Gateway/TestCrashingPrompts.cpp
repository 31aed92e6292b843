#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 3'000;
constexpr size_t upstreamCount = 8;
constexpr int events = 3;
// Upstreams take this long to read a prompt, so that other calls are in flight when one crashes.
constexpr AK::Milliseconds readingTime = 10;
constexpr AK::Milliseconds downTime = 60;
constexpr AK::Milliseconds longAnswerGap = 40;

/// Upstreams that crash `crashAfter` ms after they have begun to write a response to a prompt with the part "bad".
class CrashingSite
{
public:
    explicit CrashingSite(AK::Milliseconds crashAfter = 0)
        : crashAfter(crashAfter)
        , site(this->scripts())
    {
        this->loop = &this->site.loop;
        this->site.configure(RouteKind::Stream, true, 2, callTimeout);
    }

    ClientResponse call(kj::WaitScope &scope, const std::string &sharedParts)
    {
        const std::string id = AK::concat("a", ++this->calls);
        // The last part is the call's own.
        return this->site.callFrom(
            scope, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(callTimeout)}, {"X-Prompt-Prefix", AK::concat(sharedParts, ",", "f", id, ":5")}});
    }

    AK::Milliseconds crashAfter;
    GatewaySite site;
    LibFiber::Loop *loop = nullptr;
    int crashes = 0;
    /// Requests with the bad part that reached an upstream.
    int badRequests = 0;

private:
    std::vector<UpstreamScript> scripts()
    {
        std::vector<UpstreamScript> result;
        for (size_t index = 0; index < upstreamCount; ++index) {
            result.push_back([this, index](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
                return this->serve(scope, channel, head, index);
            });
        }
        return result;
    }

    bool serve(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, size_t index)
    {
        const AK::Milliseconds deadline = this->loop->clock().now() + callTimeout;
        const bool bad = LibHttpStream::findHeader(head.headers, "X-Prompt-Prefix")->find("bad:") != std::string::npos;
        this->badRequests += bad ? 1 : 0;
        this->loop->sleep(scope, readingTime);
        const std::string startLine =
            AK::concat("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"),
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        bool ok = channel.write(scope, startLine, deadline).ok();
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        const int first = last == nullptr ? 1 : std::stoi(*last) + 1;
        if (bad) {
            const AK::Milliseconds crashAt = this->loop->clock().now() + this->crashAfter;
            for (int event = first; ok && this->loop->clock().now() < crashAt && !this->site.upstreams[index]->isDown(); ++event) {
                ok = channel.write(scope, LibHttpStream::encodeChunk(AK::concat("id: ", event, "\ndata: word\n\n")), deadline).ok();
                this->loop->sleep(scope, longAnswerGap);
            }
            if (!this->site.upstreams[index]->isDown()) {
                ++this->crashes;
                this->site.crashUpstream(index, downTime);
            }
            return false;
        }
        for (int event = first; event <= events && ok; ++event) {
            ok = channel.write(scope, LibHttpStream::encodeChunk(AK::concat("id: ", event, "\ndata: word\n\n")), deadline).ok();
            this->loop->sleep(scope, readingTime);
        }
        return ok && channel.write(scope, LibHttpStream::lastChunk, deadline).ok();
    }

    int calls = 0;
};

struct CrashingPromptCase {
    const char *name;
    /// Shared parts of the prompts that crash upstreams.
    std::string bad;
    /// Shared parts of other prompts.
    std::vector<std::string> sound;
};

class CrashingPromptTest : public testing::TestWithParam<CrashingPromptCase>
{
};

// Guards against prompts that crash one upstream after the other, and against rejecting the calls that share their other parts.
TEST_P(CrashingPromptTest, StopReachingUpstreams)
{
    constexpr int rounds = 16;
    constexpr int toleratedCrashes = 5;
    constexpr int toleratedRequestsAfter = 3;
    // By then the part must have been found.
    constexpr int roundsToFind = 8;
    CrashingSite crashing;
    kj::WaitScope &scope = crashing.site.loop.rootScope();
    int badRequestsAtLimit = -1;
    int soundFailures = 0;
    for (int round = 0; round < rounds; ++round) {
        auto calls = kj::heapArrayBuilder<kj::Promise<void>>(GetParam().sound.size() + 1);
        std::vector<ClientResponse> soundResponses(GetParam().sound.size());
        for (size_t i = 0; i < GetParam().sound.size(); ++i) {
            calls.add(crashing.site.loop.fiber([&, i](kj::WaitScope &inner) { soundResponses[i] = crashing.call(inner, GetParam().sound[i]); }));
        }
        ClientResponse badResponse;
        calls.add(crashing.site.loop.fiber([&](kj::WaitScope &inner) { badResponse = crashing.call(inner, GetParam().bad); }));
        kj::joinPromises(calls.finish()).wait(scope);
        EXPECT_GE(badResponse.status, 500) << "round " << round;
        for (const ClientResponse &response : soundResponses) {
            soundFailures += round >= roundsToFind && (response.status != 200 || !response.complete) ? 1 : 0;
        }
        if (badRequestsAtLimit < 0 && crashing.crashes >= toleratedCrashes) {
            badRequestsAtLimit = crashing.badRequests;
        }
        // Let upstreams that have crashed come back.
        crashing.site.loop.sleep(scope, 2 * downTime);
    }
    EXPECT_LE(crashing.badRequests, (badRequestsAtLimit < 0 ? toleratedCrashes : badRequestsAtLimit) + toleratedRequestsAfter);
    EXPECT_EQ(soundFailures, 0);
}

// Guards against a call that crashes a second upstream although another call with the same part has just crashed one.
TEST_P(CrashingPromptTest, AreNotSentAgainBesideAnotherSuspect)
{
    CrashingSite crashing;
    kj::WaitScope &scope = crashing.site.loop.rootScope();
    for (const std::string &sound : GetParam().sound) {
        EXPECT_EQ(crashing.call(scope, sound).status, 200);
    }
    std::vector<int> requests;
    for (int round = 0; round < 2; ++round) {
        const int before = crashing.badRequests;
        EXPECT_EQ(crashing.call(scope, GetParam().bad).status, 502);
        requests.push_back(crashing.badRequests - before);
        crashing.site.loop.sleep(scope, 2 * downTime);
    }
    EXPECT_EQ(requests, (std::vector<int>{2, 1}));
}

class LateCrashTest : public testing::TestWithParam<AK::Milliseconds>
{
};

// Guards against a part that is never quarantined because upstreams crash on it only after they have written for some time (review/12).
TEST_P(LateCrashTest, StopsReachingUpstreams)
{
    constexpr int rounds = 6;
    // Two prompts and three crashes find a part: the first prompt is sent to two upstreams, the next ones to one each.
    constexpr int toleratedRequests = 4;
    CrashingSite crashing(GetParam());
    kj::WaitScope &scope = crashing.site.loop.rootScope();
    for (int round = 0; round < rounds; ++round) {
        ClientResponse sound;
        ClientResponse bad;
        kj::Promise<void> soundCall = crashing.site.loop.fiber([&](kj::WaitScope &inner) { sound = crashing.call(inner, "a1:40,c3:9"); });
        kj::Promise<void> badCall = crashing.site.loop.fiber([&](kj::WaitScope &inner) { bad = crashing.call(inner, "a1:40,bad:20,c3:9"); });
        soundCall.wait(scope);
        badCall.wait(scope);
        EXPECT_FALSE(bad.complete && bad.status == 200) << "round " << round;
        EXPECT_EQ(crashing.call(scope, "a1:40,c3:9").status, 200) << "round " << round;
        crashing.site.loop.sleep(scope, 2 * downTime);
    }
    EXPECT_LE(crashing.badRequests, toleratedRequests);
}

INSTANTIATE_TEST_SUITE_P(Table, LateCrashTest, testing::Values(100, 600, 1'200),
                         [](const auto &info) { return "after_" + std::to_string(info.param) + "_ms"; });

struct ProofCase {
    const char *name;
    /// Headers of a call that is answered to the end between two crashes.
    LibHttpStream::Headers headers;
    bool provesSoundness;
};

class SoundnessTest : public testing::TestWithParam<ProofCase>
{
};

// Guards against a part that counts as sound because the rest of a resumed response was short enough to be completed before the upstream crashed.
TEST_P(SoundnessTest, IsProvenByAWholeResponseAlone)
{
    LibFiber::Loop *loop = nullptr;
    const UpstreamScript answer = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string event = LibHttpStream::findHeader(head.headers, "Last-Event-Id") == nullptr ? "id: 1\ndata: word\n\n" : "id: 2\ndata: word\n\n";
        writeResponse(scope, channel, *loop, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), 200, event, event.size());
        return true;
    };
    GatewaySite site({answer});
    loop = &site.loop;
    site.configure(RouteKind::Stream, true, 2, callTimeout);
    const auto crash = [&](uint64_t prompt) {
        const AK::Milliseconds now = site.loop.clock().now();
        site.quarantine.recordCrash({AK::concat("i-", prompt + 10), now, {{prompt, now - 1, {"ab"}}}});
        site.loop.sleep(site.loop.rootScope(), readingTime);
    };
    crash(1);
    crash(2);
    EXPECT_EQ(site.call(GetParam().headers).status, 200);
    crash(3);
    EXPECT_EQ(site.quarantine.isQuarantined({"ab"}), !GetParam().provesSoundness);
}

INSTANTIATE_TEST_SUITE_P(Table, SoundnessTest,
                         testing::Values(ProofCase{"whole", {{"X-Prompt-Prefix", "ab:4,f1:5"}}, true},
                                         ProofCase{"resumed", {{"X-Prompt-Prefix", "ab:4,f1:5"}, {"Last-Event-Id", "1"}}, false},
                                         ProofCase{"another_part", {{"X-Prompt-Prefix", "cd:4,f1:5"}}, false}),
                         [](const auto &info) { return info.param.name; });

// Guards against calls that are given up because an upstream refused the connection, only because another call with their part was beside a crash.
TEST(CrashingPrompt, CallsThatHaveNotRunAreSentOn)
{
    // Which upstream a call tries first is random.
    constexpr int sites = 8;
    for (int i = 0; i < sites; ++i) {
        LibFiber::Loop *loop = nullptr;
        const UpstreamScript answer = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
            writeResponse(scope, channel, *loop, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), 200, "id: 1\ndata: word\n\n", 19);
            return true;
        };
        GatewaySite site({answer, answer});
        loop = &site.loop;
        site.configure(RouteKind::Stream, true, 2, callTimeout);
        site.crashUpstream(0, callTimeout);
        site.loop.sleep(site.loop.rootScope(), readingTime);
        const AK::Milliseconds now = site.loop.clock().now();
        site.quarantine.recordCrash({"i-1", now, {{7, now - 1, {"ab"}}}});
        EXPECT_EQ(site.call({{"X-Prompt-Prefix", "ab:4,f1:5"}}).status, 200) << "site " << i;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, CrashingPromptTest,
                         testing::Values(CrashingPromptCase{"part_in_the_middle", "a1:40,bad:20", {"a1:40", "a1:40,c2:20"}},
                                         CrashingPromptCase{"first_part", "bad:40,c1:20", {"a1:40,c1:20", "a1:40"}},
                                         CrashingPromptCase{"only_shared_part", "bad:40", {"a1:40", "a2:40"}},
                                         CrashingPromptCase{"always_beside_a_sound_part", "a1:40,bad:20,c3:9", {"a1:40,c3:9", "a1:40"}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
