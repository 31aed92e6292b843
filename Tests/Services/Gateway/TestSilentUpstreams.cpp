#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 6'000;
// A pause of a sound upstream, longer than the time after which another one is tried.
constexpr AK::Milliseconds streamPause = 2'400;
constexpr int events = 6;

enum class SilentAt { BeforeTheHead, AfterTheHead, AfterThreeEvents, InsideAnEvent };

/// What else there is to try while the first upstream is silent.
enum class Others { None, Rejecting, SoundWhileTheFirstFails, Resetting, Failing, Silent, Commenting, Draining, Leaving, Paused, Sound };

std::string eventText(int id)
{
    return AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
}

struct SilentCase {
    const char *name;
    RouteKind kind;
    SilentAt silentAt;
    Others others;
    int maxAttempts;
    bool retryBudget;
    int status = 200;
};

/// An upstream that falls silent once and goes on, if it gets the first request of the site; otherwise it is one of the others.
class PausingScript
{
public:
    PausingScript(const SilentCase &row, LibFiber::Loop *const &loop, int &requests)
        : row(row)
        , loop(loop)
        , requests(requests)
    {
    }

    bool operator()(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string & /*body*/)
    {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const bool isFirst = ++this->requests == 1;
        if (!isFirst && this->row.others == Others::Rejecting) {
            writeResponse(scope, channel, *this->loop, id, 503, "", 0, {{"X-Not-Executed", "1"}});
            return true;
        }
        if (!isFirst && this->row.others == Others::Failing) {
            writeResponse(scope, channel, *this->loop, id, 500, "failed", 6);
            return true;
        }
        if (!isFirst && this->row.others == Others::Resetting) {
            channel.resetOnClose();
            return false;
        }
        if (!isFirst && this->row.others == Others::Commenting) {
            this->send(scope, channel, streamHead(id) + LibHttpStream::encodeChunk(": busy\n\n"));
        }
        if (!isFirst && (this->row.others == Others::Silent || this->row.others == Others::Commenting)) {
            this->loop->awaitDone(scope, channel.whenClosed(), this->loop->clock().now() + callTimeout).IgnoreError();
            return false;
        }
        if (this->row.others == Others::SoundWhileTheFirstFails) {
            this->loop->sleep(scope, isFirst ? 0 : streamPause);
        }
        return this->row.kind == RouteKind::Stream ? this->stream(scope, channel, head, id, isFirst) : this->respond(scope, channel, id, isFirst);
    }

private:
    bool send(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &text)
    {
        return channel.write(scope, text, this->loop->clock().now() + callTimeout).ok();
    }

    bool respond(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &id, bool pauses)
    {
        return this->pauseAt(SilentAt::BeforeTheHead, scope, pauses)
            && this->send(scope, channel, AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nhello"));
    }

    bool stream(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &id, bool pauses)
    {
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        bool ok = this->pauseAt(SilentAt::BeforeTheHead, scope, pauses) && this->send(scope, channel, streamHead(id));
        ok = ok && this->pauseAt(SilentAt::AfterTheHead, scope, pauses);
        for (int event = last == nullptr ? 1 : std::stoi(*last) + 1; event <= events && ok; ++event) {
            ok = event != 4 || this->pauseAt(SilentAt::AfterThreeEvents, scope, pauses);
            const std::string chunk = LibHttpStream::encodeChunk(eventText(event));
            const size_t split = event == 4 ? chunk.size() - 3 : chunk.size();
            ok = ok && this->send(scope, channel, chunk.substr(0, split)) && (event != 4 || this->pauseAt(SilentAt::InsideAnEvent, scope, pauses));
            ok = ok && (split == chunk.size() || this->send(scope, channel, chunk.substr(split)));
        }
        return ok && this->send(scope, channel, std::string(LibHttpStream::lastChunk));
    }

    static std::string streamHead(const std::string &id)
    {
        return AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id,
                          "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    bool pauseAt(SilentAt place, kj::WaitScope &scope, bool pauses)
    {
        if (pauses && this->row.silentAt == place) {
            this->loop->sleep(scope, streamPause);
            return this->row.others != Others::SoundWhileTheFirstFails;
        }
        return true;
    }

    const SilentCase &row;
    LibFiber::Loop *const &loop;
    int &requests;
};

/// Whether the others get no request because of what they say, so that only the first upstream gets one.
bool takesNothingNew(Others others)
{
    return others == Others::Draining || others == Others::Leaving || others == Others::Paused;
}

void hinderAll(GatewaySite &site, Others others)
{
    auto records = site.fleet.upstreams();
    for (auto &[id, record] : records) {
        LibGateway::ResponseInfo response;
        response.leaving = others == Others::Leaving;
        response.pause = others == Others::Paused ? std::optional(callTimeout) : std::nullopt;
        site.dispatcher.recordResponse(record, response, 0);
        record.state = others == Others::Draining ? LibFleet::UpstreamState::Draining : record.state;
    }
    site.fleet.setUpstreams(records);
}

class SilentUpstreamTest : public testing::TestWithParam<SilentCase>
{
};

// Guards against an answer that ends early because a sound upstream was silent for a while and no other one could take the call. A client that has nothing of
// its answer yet gets that of another upstream or an error, and no work goes on for it.
TEST_P(SilentUpstreamTest, GivesItsAnswerWhenNoOtherDoes)
{
    const SilentCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    int requests = 0;
    const PausingScript script(row, loop, requests);
    GatewaySite site(row.others == Others::None ? std::vector<UpstreamScript>{script} : std::vector<UpstreamScript>{script, script});
    loop = &site.loop;
    site.configure(row.kind, true, row.maxAttempts, callTimeout);
    if (!row.retryBudget) {
        site.dispatcher.setBounds({0, 0, 10'000}, 0, 0);
    }
    if (takesNothingNew(row.others)) {
        site.loop.spawn([&](kj::WaitScope &scope) {
            // After the first request has been sent.
            site.loop.sleep(scope, 500);
            hinderAll(site, row.others);
        });
    }
    const ClientResponse response = site.call({{"X-Deadline-Ms", std::to_string(callTimeout)}});
    EXPECT_EQ(response.status, row.status) << response.body;
    EXPECT_TRUE(response.complete);
    std::string expected = row.kind == RouteKind::Stream ? "" : "hello";
    for (int id = 1; id <= events && row.kind == RouteKind::Stream; ++id) {
        expected += eventText(id);
    }
    if (row.status == 200) {
        EXPECT_EQ(response.body, expected);
    }
    EXPECT_LE(requests, takesNothingNew(row.others) ? 1 : std::max(1, row.maxAttempts));
    EXPECT_EQ(site.dispatcher.callsInFlight(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SilentUpstreamTest,
    testing::Values(SilentCase{"stream_without_another", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::None, 2, true},
                    SilentCase{"stream_inside_an_event", RouteKind::Stream, SilentAt::InsideAnEvent, Others::None, 2, true},
                    SilentCase{"stream_at_its_last_attempt", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Sound, 1, true},
                    SilentCase{"stream_without_retry_budget", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Sound, 2, false},
                    SilentCase{"stream_beside_one_that_rejects", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Rejecting, 2, true},
                    SilentCase{"stream_beside_one_that_resets", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Resetting, 2, true},
                    SilentCase{"stream_beside_one_that_is_silent", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Silent, 2, true},
                    SilentCase{"stream_beside_one_that_sends_a_comment", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Commenting, 2, true},
                    SilentCase{"stream_beside_one_that_drains", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Draining, 2, true},
                    SilentCase{"stream_beside_one_that_leaves", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Leaving, 2, true},
                    SilentCase{"stream_beside_one_that_is_paused", RouteKind::Stream, SilentAt::InsideAnEvent, Others::Paused, 2, true},
                    SilentCase{"stream_beside_a_sound_one", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::Sound, 2, true},
                    SilentCase{"stream_after_its_head", RouteKind::Stream, SilentAt::AfterTheHead, Others::Rejecting, 2, true, 502},
                    SilentCase{"stream_before_its_head", RouteKind::Stream, SilentAt::BeforeTheHead, Others::Rejecting, 2, true, 502},
                    SilentCase{"stream_before_its_head_beside_a_failure", RouteKind::Stream, SilentAt::BeforeTheHead, Others::Failing, 2, true, 500},
                    SilentCase{"stream_before_its_head_beside_a_sound_one", RouteKind::Stream, SilentAt::BeforeTheHead, Others::Sound, 2, true},
                    SilentCase{"stream_that_fails_beside_a_slow_one", RouteKind::Stream, SilentAt::AfterThreeEvents, Others::SoundWhileTheFirstFails, 2, true},
                    SilentCase{"stream_that_fails_before_its_head", RouteKind::Stream, SilentAt::BeforeTheHead, Others::SoundWhileTheFirstFails, 2, true},
                    SilentCase{"response_that_fails_beside_a_slow_one", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::SoundWhileTheFirstFails, 2,
                               true},
                    SilentCase{"response_beside_one_that_rejects", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Rejecting, 2, true, 502},
                    SilentCase{"response_beside_one_that_resets", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Resetting, 2, true, 502},
                    SilentCase{"response_beside_one_that_leaves", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Leaving, 2, true, 502},
                    SilentCase{"response_beside_one_that_is_paused", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Paused, 2, true, 502},
                    SilentCase{"response_beside_a_failure", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Failing, 2, true, 500},
                    SilentCase{"response_beside_a_sound_one", RouteKind::Idempotent, SilentAt::BeforeTheHead, Others::Sound, 2, true}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a notice that is missed because the head with it comes from a silent upstream while another one is tried beside it.
TEST(SilentUpstream, TellsItsLeavingInALateHead)
{
    constexpr int further = 6;
    LibFiber::Loop *loop = nullptr;
    int requests = 0;
    const auto script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const int number = ++requests;
        const std::string start = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n");
        const std::string begin = LibHttpStream::encodeChunk(eventText(1));
        if (number == 1) {
            // The stream breaks off, so that the next upstream is asked to go on.
            channel.write(scope, start + "Transfer-Encoding: chunked\r\n\r\n" + begin, loop->clock().now() + callTimeout).IgnoreError();
            return false;
        }
        // The second upstream is silent before its head for longer than the limit, and the third one for longer still.
        loop->sleep(scope, number == 2 ? streamPause : number == 3 ? 2 * streamPause : 0);
        const std::string rest = LibHttpStream::findHeader(head.headers, "Last-Event-Id") == nullptr ? eventText(1) : eventText(2);
        const std::string notice = number == 2 ? "Server-Leaving: 1\r\n" : "";
        const std::string text =
            start + notice + "Transfer-Encoding: chunked\r\n\r\n" + LibHttpStream::encodeChunk(rest) + std::string(LibHttpStream::lastChunk);
        channel.write(scope, text, loop->clock().now() + callTimeout).IgnoreError();
        return true;
    };
    GatewaySite site({script, script, script});
    loop = &site.loop;
    site.configure(RouteKind::Stream, true, 3, callTimeout);
    const ClientResponse response = site.call({{"X-Deadline-Ms", std::to_string(callTimeout)}});
    EXPECT_EQ(response.body, eventText(1) + eventText(2));
    EXPECT_EQ(requests, 3) << "another upstream is tried beside the silent one";
    const auto hindered = [&] {
        site.dispatcher.exportMetrics(site.metrics);
        return site.metrics.text();
    };
    EXPECT_NE(hindered().find("catkinlink_upstreams_hindered{reason=\"leaving\"} 1"), std::string::npos);
    for (int i = 0; i < further; ++i) {
        EXPECT_TRUE(site.call({{"X-Deadline-Ms", std::to_string(callTimeout)}}).complete);
    }
    const auto none = std::count_if(site.upstreams.begin(), site.upstreams.end(), [](const auto &upstream) { return upstream->requests.size() == 1; });
    EXPECT_GE(none, 1) << "the one that leaves got no other request";
}

// Guards against work that continues at either upstream when the client leaves while another one is tried beside a silent one.
TEST(SilentUpstream, IsAbandonedWithItsReplacementWhenTheClientLeaves)
{
    LibFiber::Loop *loop = nullptr;
    const UpstreamScript silent = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        if (LibHttpStream::findHeader(head.headers, "Last-Event-Id") == nullptr) {
            const std::string start = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"),
                                                 "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                                 LibHttpStream::encodeChunk(eventText(1)));
            channel.write(scope, start, loop->clock().now() + callTimeout).IgnoreError();
        }
        channel.whenClosed().wait(scope);
        return false;
    };
    GatewaySite site({silent, silent});
    loop = &site.loop;
    site.configure(RouteKind::Stream, true, 2, callTimeout);
    kj::WaitScope &scope = site.loop.rootScope();
    const AK::Milliseconds until = site.loop.clock().now() + callTimeout;
    const auto requests = [&] {
        return site.upstreams[0]->requests.size() + site.upstreams[1]->requests.size();
    };
    {
        const kj::Promise<void> client = site.loop.fiber([&](kj::WaitScope &inner) { site.callFrom(inner, {{"X-Deadline-Ms", std::to_string(callTimeout)}}); });
        while (requests() < 2 && site.loop.clock().now() < until) {
            site.loop.sleep(scope, 1);
        }
        EXPECT_EQ(site.upstreams[0]->abandonedRequests + site.upstreams[1]->abandonedRequests, 0);
    }
    const auto abandoned = [&] {
        return site.upstreams[0]->abandonedRequests + site.upstreams[1]->abandonedRequests;
    };
    while (abandoned() < 2 && site.loop.clock().now() < until) {
        site.loop.sleep(scope, 1);
    }
    EXPECT_EQ(abandoned(), 2);
    EXPECT_EQ(site.dispatcher.callsInFlight(), 0);
}

} // namespace
