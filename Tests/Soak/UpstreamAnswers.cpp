#include "Upstream.h"

#include <AK/Text.h>
#include <algorithm>

namespace Soak
{

using LibHttpStream::findHeader;

namespace
{

constexpr AK::Milliseconds ioTimeout = 10'000;
// Shortest silence of a sound upstream; streams are silent for up to twice as long.
constexpr AK::Milliseconds silenceTime = 1'000;

std::string chunked(const std::string &text)
{
    return LibHttpStream::encodeChunk(text) + std::string(LibHttpStream::lastChunk);
}

} // namespace

LibHttpStream::Headers Upstream::answerHeaders(const Exchange &exchange) const
{
    LibHttpStream::Headers headers{{"X-Attempt-Id", exchange.call.id},
                                   {"X-Worker-Load", AK::concat(std::min(this->running, slots), ",", std::max(0, this->running - slots), ",", slots)},
                                   {"Keep-Alive", "timeout=1"}};
    if (exchange.fault != UpstreamFault::NoReceipt && !exchange.arrival().receipt.empty()) {
        headers.push_back({"X-Server-Seal", exchange.arrival().receipt});
    }
    if (this->announces) {
        headers.push_back({"Server-Leaving", "1"});
        exchange.arrival().announcedLeaving = true;
    }
    return headers;
}

bool Upstream::write(const Exchange &exchange, const std::string &text)
{
    return exchange.channel.write(exchange.scope, text, this->loop.clock().now() + ioTimeout).ok();
}

bool Upstream::refuse(const Exchange &exchange, LibHttpStream::Headers more, bool proven)
{
    LibHttpStream::Headers headers = this->answerHeaders(exchange);
    if (proven) {
        headers.push_back({"X-Not-Executed", "1"});
    }
    headers.insert(headers.end(), more.begin(), more.end());
    headers.push_back({"Content-Length", "0"});
    exchange.arrival().status = 503;
    const std::string text = LibHttpStream::serializeResponseHead({503, "Service Unavailable", headers});
    this->lastRefusal = proven ? text : this->lastRefusal;
    return this->write(exchange, text);
}

bool Upstream::answerError(const Exchange &exchange)
{
    LibHttpStream::Headers headers = this->answerHeaders(exchange);
    headers.push_back({"Content-Length", "4"});
    exchange.arrival().status = 500;
    return this->write(exchange, LibHttpStream::serializeResponseHead({500, "Internal Server Error", headers}) + "oops");
}

void Upstream::repeatRefusal(const Exchange &exchange)
{
    std::string text = this->lastRefusal;
    const size_t id = text.find("X-Attempt-Id");
    if (id != std::string::npos && AK::uniformBelow(this->random, 2) == 0) {
        text.erase(id, text.find('\n', id) + 1 - id);
    }
    this->write(exchange, text);
}

bool Upstream::failEarly(const Exchange &exchange, bool &handled)
{
    handled = true;
    switch (exchange.fault) {
    case UpstreamFault::Hang:
        exchange.channel.whenClosed().exclusiveJoin(this->loop.after(ioTimeout)).wait(exchange.scope);
        return false;
    case UpstreamFault::ResetAfterWork:
        exchange.channel.resetOnClose();
        return false;
    case UpstreamFault::RefuseUnproven:
        return this->refuse(exchange, {}, false);
    case UpstreamFault::Error:
        return this->answerError(exchange);
    case UpstreamFault::OddStatus:
        this->write(exchange,
                    AK::concat("HTTP/1.1 99999999999 OK\r\nX-Attempt-Id: ", exchange.call.id, "\r\nX-Server-Seal: ", exchange.arrival().receipt,
                               "\r\nContent-Length: 2\r\n\r\nok"));
        return false;
    case UpstreamFault::RepeatRefusal:
        this->repeatRefusal(exchange);
        break;
    default:
        break;
    }
    handled = false;
    return true;
}

bool Upstream::run(const Exchange &exchange)
{
    if (exchange.fault == UpstreamFault::ResetBeforeWork) {
        exchange.channel.resetOnClose();
        return false;
    }
    exchange.arrival().ran = true;
    exchange.arrival().receipt = AK::concat(this->instance, ".", ++this->runs);
    constexpr uint64_t workRange = 20;
    this->loop.sleep(exchange.scope, 5 + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, workRange)));
    if (exchange.fault == UpstreamFault::SilentThenOn && !isStream(exchange.call.kind)) {
        this->loop.sleep(exchange.scope, silenceTime);
    }
    bool handled = false;
    const bool keep = this->failEarly(exchange, handled);
    if (handled) {
        return keep;
    }
    return isStream(exchange.call.kind) ? this->stream(exchange) : this->respond(exchange);
}

bool Upstream::respond(const Exchange &exchange)
{
    const std::string receipt = exchange.arrival().receipt;
    const std::string body = exchange.fault == UpstreamFault::NoReceipt ? "<html>another server</html>" : responseBody(exchange.call.id, receipt);
    LibHttpStream::Headers headers = this->answerHeaders(exchange);
    const bool chunks = AK::uniformBelow(this->random, 2) == 0 && exchange.fault != UpstreamFault::ShortBody;
    headers.push_back(chunks ? LibHttpStream::Header{"Transfer-Encoding", "chunked"} : LibHttpStream::Header{"Content-Length", std::to_string(body.size())});
    exchange.arrival().status = 200;
    const std::string head = LibHttpStream::serializeResponseHead({200, "OK", headers});
    if (exchange.fault == UpstreamFault::ShortBody) {
        this->write(exchange, head + body.substr(0, body.size() / 2));
        return false;
    }
    const std::string text = head + (chunks ? chunked(body) : body);
    if (!this->write(exchange, text)) {
        return false;
    }
    if (exchange.fault == UpstreamFault::StrayCopy) {
        this->loop.sleep(exchange.scope, static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, 30)));
        return this->write(exchange, text);
    }
    return true;
}

bool Upstream::stream(const Exchange &exchange)
{
    constexpr AK::Milliseconds eventInterval = 40;
    const std::string *last = findHeader(exchange.head.headers, "Last-Event-Id");
    int first = last == nullptr ? 1 : static_cast<int>(AK::parseInteger(*last).value_or(0)) + 1;
    if (last != nullptr && exchange.fault == UpstreamFault::FailResumption) {
        constexpr uint64_t ways = 3;
        const uint64_t way = AK::uniformBelow(this->random, ways);
        if (way == 0) {
            return this->answerError(exchange);
        }
        // The stream begins anew, or leaves an event out. No entry could tell a resumption without the last event from a whole one.
        first = way == 1 || first >= streamEvents ? 1 : first + 1;
    }
    exchange.arrival().firstEvent = first;
    LibHttpStream::Headers headers = this->answerHeaders(exchange);
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Transfer-Encoding", "chunked"});
    exchange.arrival().status = 200;
    if (!this->write(exchange, LibHttpStream::serializeResponseHead({200, "OK", headers}))) {
        return false;
    }
    const int special = first + static_cast<int>(AK::uniformBelow(this->random, streamEvents));
    for (int number = first; number <= streamEvents; ++number) {
        const std::string event = eventText(exchange.call.id, exchange.arrival().receipt, number);
        this->loop.sleep(exchange.scope, eventInterval);
        if (number == special && exchange.fault == UpstreamFault::SilentThenOn) {
            this->loop.sleep(exchange.scope, silenceTime + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, silenceTime)));
        }
        if (number == special && (exchange.fault == UpstreamFault::BreakStream || exchange.fault == UpstreamFault::ShortBody)) {
            this->write(exchange, LibHttpStream::encodeChunk(event.substr(0, event.size() / 2)));
            exchange.channel.resetOnClose();
            return false;
        }
        if (!this->write(exchange, LibHttpStream::encodeChunk(event))) {
            return false;
        }
    }
    return this->write(exchange, std::string(LibHttpStream::lastChunk));
}

} // namespace Soak
