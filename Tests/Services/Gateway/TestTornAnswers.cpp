#include "GatewaySite.h"
#include <AK/Text.h>
#include <Loopback/EndedAnswer.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace
{

using LibFleet::RouteKind;
using Loopback::AnswerEnd;

constexpr AK::Milliseconds callTimeout = 2'000;
constexpr int events = 400;
// Events that have come before the rest of a stream is asked for.
constexpr int eventsBeforeRest = 100;
constexpr int bodyBytes = 20'000;
// More than the sockets of a connection take up, and less than the largest body of a client.
constexpr size_t longUploadBytes = 4'000'000;

enum class Framing { None, Length, Chunks };

constexpr std::array framingNames{
    AK::EnumName{Framing::None, "unframed"},
    AK::EnumName{Framing::Length, "length"},
    AK::EnumName{Framing::Chunks, "chunks"},
};

/// How much of the upload the upstream reads before it answers.
enum class Upload { None, Unread, HalfRead, Read };

constexpr std::array uploadNames{
    AK::EnumName{Upload::None, "no_upload"},
    AK::EnumName{Upload::Unread, "unread"},
    AK::EnumName{Upload::HalfRead, "half_read"},
    AK::EnumName{Upload::Read, "read"},
};

/// How much of the body is sent: none, a byte or an event, a part, all of it.
enum class Share { None, Least, Part, All };

constexpr std::array shareNames{
    AK::EnumName{Share::None, "nothing"},
    AK::EnumName{Share::Least, "little"},
    AK::EnumName{Share::Part, "part"},
    AK::EnumName{Share::All, "all"},
};

struct RouteCase {
    const char *name;
    RouteKind kind;
    bool resumable;
    /// The torn answer comes on a connection that has carried a call before.
    bool reused;
    /// The torn answer is the rest of a stream that another answer has begun.
    bool resumed;
};

struct EndCase {
    const char *name;
    AnswerEnd end;
    AK::Milliseconds after;
};

constexpr RouteCase repeatable{"repeatable", RouteKind::Idempotent, false, false, false};
constexpr RouteCase reused{"reused_connection", RouteKind::Idempotent, false, true, false};
constexpr RouteCase onceOnly{"once_only", RouteKind::AtMostOnce, false, false, false};
constexpr RouteCase stream{"stream", RouteKind::Stream, false, false, false};
constexpr RouteCase resumableStream{"resumable", RouteKind::Stream, true, false, false};
constexpr RouteCase reusedStream{"resumable_reused", RouteKind::Stream, true, true, false};
constexpr RouteCase restOfStream{"resumed", RouteKind::Stream, true, false, true};

constexpr EndCase reset{"reset", AnswerEnd::Reset, 0};
constexpr EndCase resetLater{"reset_later", AnswerEnd::Reset, 20};
constexpr EndCase closed{"closed", AnswerEnd::Close, 0};
constexpr EndCase closedLater{"closed_later", AnswerEnd::Close, 20};

std::string eventTexts(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += AK::concat("id: ", id, "\ndata: some words of an event, number ", id, "\n\n");
    }
    return text;
}

std::string plainBody()
{
    std::string body(bodyBytes, 'b');
    body.back() = 'e';
    return body;
}

// How many of the events or bytes of a whole answer are sent.
int sentOf(int whole, Share share)
{
    switch (share) {
    case Share::None:
        return 0;
    case Share::Least:
        return 1;
    case Share::Part:
        return whole / 2;
    case Share::All:
        break;
    }
    return whole;
}

/// An answer that declares `whole` as its body and holds `sent` of it. Without the end of its chunks when `ended` is not set.
std::string answerText(const std::string &id, RouteKind kind, Framing framing, const std::string &whole, const std::string &sent, bool ended)
{
    std::string text = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n");
    text += kind == RouteKind::Stream ? "Content-Type: text/event-stream\r\n" : "";
    switch (framing) {
    case Framing::None:
        return AK::concat(text, "\r\n", sent);
    case Framing::Length:
        return AK::concat(text, "Content-Length: ", whole.size(), "\r\n\r\n", sent);
    case Framing::Chunks:
        break;
    }
    return AK::concat(text, "Transfer-Encoding: chunked\r\n\r\n", sent.empty() ? "" : LibHttpStream::encodeChunk(sent), ended ? LibHttpStream::lastChunk : "");
}

size_t readBytes(Upload upload)
{
    switch (upload) {
    case Upload::None:
    case Upload::Unread:
        return 0;
    case Upload::HalfRead:
        return longUploadBytes / 2;
    case Upload::Read:
        break;
    }
    return longUploadBytes;
}

/// One entry whose first answer, or first rest of a stream, ends as the case says; all later ones are whole.
class EndedAnswerSite
{
public:
    EndedAnswerSite(const RouteCase &route, Framing framing, Upload upload, Share share, AnswerEnd end, AK::Milliseconds endAfter)
        : route(route)
        , framing(framing)
        , upload(upload)
        , share(share)
        , end(end)
        , endAfter(endAfter)
        , site(std::vector<UpstreamScript>(route.resumed ? 3 : 2, this->script()))
    {
        for (auto &upstream : this->site.upstreams) {
            upstream->respondsEarly = true;
        }
        this->site.configure(route.kind, route.resumable, 3, callTimeout);
    }

    ClientResponse call()
    {
        if (this->route.reused) {
            // Each upstream keeps a connection, whichever gets the next call.
            while (this->site.upstreams[0]->connections == 0 || this->site.upstreams[1]->connections == 0) {
                EXPECT_EQ(this->site.call({}, "/r/1", "").status, 200);
            }
        }
        this->beginsNext = this->route.resumed;
        this->endsNext = true;
        this->requests = 0;
        return this->site.call({}, "/r/1", std::string(this->uploadBytes(), 'u'));
    }

    /// Requests that upstreams have got since the call began.
    size_t requests = 0;

private:
    size_t uploadBytes() const
    {
        return this->upload == Upload::None ? 0 : longUploadBytes;
    }

    std::string wholeBody(int firstEvent) const
    {
        return this->route.kind == RouteKind::Stream ? eventTexts(firstEvent, events) : plainBody();
    }

    std::string sentBody(int firstEvent) const
    {
        return this->route.kind == RouteKind::Stream ? eventTexts(firstEvent, std::min(firstEvent - 1 + sentOf(events, this->share), events))
                                                     : plainBody().substr(0, sentOf(bodyBytes, this->share));
    }

    UpstreamScript script()
    {
        return [this](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
            const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
            const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
            const int first = last == nullptr ? 1 : std::stoi(*last) + 1;
            const std::string body = this->wholeBody(first);
            ++this->requests;
            if (this->beginsNext) {
                this->beginsNext = false;
                const std::string text = answerText(id, this->route.kind, Framing::Chunks, body, eventTexts(1, eventsBeforeRest), false);
                Loopback::giveAnswer(scope, channel, {text, this->uploadBytes(), AnswerEnd::FinishAndClose, 0});
                return false;
            }
            if (this->endsNext) {
                this->endsNext = false;
                const std::string text = answerText(id, this->route.kind, this->framing, body, this->sentBody(first), this->share == Share::All);
                Loopback::giveAnswer(scope, channel, {text, readBytes(this->upload), this->end, this->endAfter});
                return false;
            }
            EXPECT_TRUE(
                channel.write(scope, answerText(id, this->route.kind, Framing::Length, body, body, true), this->site.loop.clock().now() + callTimeout).ok());
            return true;
        };
    }

    RouteCase route;
    Framing framing;
    Upload upload;
    Share share;
    AnswerEnd end;
    AK::Milliseconds endAfter;
    bool beginsNext = false;
    bool endsNext = false;
    GatewaySite site;
};

class TornAnswerTest : public testing::TestWithParam<std::tuple<RouteCase, Framing, Upload, Share, EndCase>>
{
};

// Guards against an answer that its connection has broken off and that reaches a client as a whole one. A write of the upload that fails takes the error that
// the next read would report, which then sees a clean end.
TEST_P(TornAnswerTest, IsNeverWhole)
{
    const auto &[route, framing, upload, share, end] = GetParam();
    EndedAnswerSite site(route, framing, upload, share, end.end, end.after);
    const ClientResponse response = site.call();
    const bool isStream = route.kind == RouteKind::Stream;
    const bool mayRepeat = route.resumable || route.kind == RouteKind::Idempotent;
    if (mayRepeat) {
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.complete);
        EXPECT_EQ(response.body, isStream ? eventTexts(1, events) : plainBody());
    } else if (isStream && share != Share::None) {
        // Bytes that the reset overtakes are lost.
        EXPECT_FALSE(response.complete);
        EXPECT_TRUE(eventTexts(1, events).starts_with(response.body));
        EXPECT_TRUE(response.status == 200 || response.status == 502) << response.status;
    } else {
        EXPECT_EQ(response.status, 502);
    }
    EXPECT_EQ(site.requests, (mayRepeat ? 2U : 1U) + (route.resumed ? 1U : 0U));
}

std::string tornName(const testing::TestParamInfo<TornAnswerTest::ParamType> &info)
{
    const auto &[route, framing, upload, share, end] = info.param;
    return AK::concat(route.name, "_", AK::nameOf(framingNames, framing), "_", AK::nameOf(uploadNames, upload), "_", AK::nameOf(shareNames, share), "_",
                      end.name);
}

// A close after the whole upload, or without one, is a clean end.
INSTANTIATE_TEST_SUITE_P(UploadLeft, TornAnswerTest,
                         testing::Combine(testing::Values(repeatable, reused, onceOnly, stream, resumableStream, reusedStream, restOfStream),
                                          testing::Values(Framing::None, Framing::Length, Framing::Chunks), testing::Values(Upload::Unread, Upload::HalfRead),
                                          testing::Values(Share::None, Share::Least, Share::Part), testing::Values(reset, resetLater, closed, closedLater)),
                         tornName);

INSTANTIATE_TEST_SUITE_P(UploadRead, TornAnswerTest,
                         testing::Combine(testing::Values(repeatable, reused, onceOnly, stream, resumableStream, reusedStream, restOfStream),
                                          testing::Values(Framing::None, Framing::Length, Framing::Chunks), testing::Values(Upload::None, Upload::Read),
                                          testing::Values(Share::None, Share::Least, Share::Part), testing::Values(reset, resetLater)),
                         tornName);

// Without a length and chunks a reset leaves open whether all of the answer was sent.
INSTANTIATE_TEST_SUITE_P(AllSent, TornAnswerTest,
                         testing::Combine(testing::Values(repeatable, onceOnly, resumableStream, restOfStream), testing::Values(Framing::None),
                                          testing::Values(Upload::Unread, Upload::HalfRead), testing::Values(Share::All), testing::Values(reset, closed)),
                         tornName);

class SoundAnswerTest : public testing::TestWithParam<std::tuple<RouteCase, Framing, Upload, AnswerEnd>>
{
};

// Guards against a sound answer that is taken for one that has broken off because its upstream ends the upload early: the end of the answer comes first, and
// the reset of the rest of the upload only after it.
TEST_P(SoundAnswerTest, ArrivesWhole)
{
    const auto &[route, framing, upload, end] = GetParam();
    EndedAnswerSite site(route, framing, upload, Share::All, end, 0);
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, route.kind == RouteKind::Stream ? eventTexts(1, events) : plainBody());
    EXPECT_EQ(site.requests, route.resumed ? 2U : 1U);
}

std::string soundName(const testing::TestParamInfo<SoundAnswerTest::ParamType> &info)
{
    const auto &[route, framing, upload, end] = info.param;
    return AK::concat(route.name, "_", AK::nameOf(framingNames, framing), "_", AK::nameOf(uploadNames, upload), "_", AK::nameOf(Loopback::answerEndNames, end));
}

INSTANTIATE_TEST_SUITE_P(UploadLeft, SoundAnswerTest,
                         testing::Combine(testing::Values(repeatable, onceOnly, stream, resumableStream, restOfStream),
                                          testing::Values(Framing::None, Framing::Length, Framing::Chunks), testing::Values(Upload::Unread, Upload::HalfRead),
                                          testing::Values(AnswerEnd::FinishAndRead, AnswerEnd::FinishAndClose, AnswerEnd::FinishAndCloseLater)),
                         soundName);

INSTANTIATE_TEST_SUITE_P(UploadRead, SoundAnswerTest,
                         testing::Combine(testing::Values(repeatable, onceOnly, stream, resumableStream, restOfStream),
                                          testing::Values(Framing::None, Framing::Length, Framing::Chunks), testing::Values(Upload::None, Upload::Read),
                                          testing::Values(AnswerEnd::Close, AnswerEnd::FinishAndRead, AnswerEnd::FinishAndClose)),
                         soundName);

} // namespace
