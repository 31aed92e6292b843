#include <Services/Entry/CallerAnswer.h>

#include <AK/Text.h>

namespace Entry
{

namespace
{

constexpr size_t answerLimitBytes = size_t{8} << 20;

// Headers of one connection, and those that only an entry may set.
bool isHopHeader(std::string_view name)
{
    return name == "connection" || name == "content-length" || name == "transfer-encoding" || name == "keep-alive" || name.starts_with("x-catkinlink-");
}

} // namespace

CallerAnswer::CallerAnswer(LibHttp::HttpExchange &exchange, bool stream, const AK::Clock &clock, AK::Milliseconds startedAt,
                           LibMetrics::MetricRegistry &metrics)
    : exchange(exchange)
    , stream(stream)
    , clock(clock)
    , startedAt(startedAt)
    , metrics(metrics)
{
}

void CallerAnswer::setStreamHeaders(LibHttp::HttpHeaders headers)
{
    this->streamHeaders = std::move(headers);
}

void CallerAnswer::begin(int status, const LibHttp::HttpHeaders &headers)
{
    this->kept = {status, {}, {}};
    for (const auto &[name, value] : headers) {
        if (!isHopHeader(name)) {
            this->kept.headers[name] = value;
        }
    }
    // An answer that is an error is kept, so that it goes out with its status and length.
    this->passThrough = this->stream && status == 200;
}

bool CallerAnswer::append(std::string_view data)
{
    this->observe();
    if (!this->passThrough) {
        this->kept.body += data;
        return this->kept.body.size() <= answerLimitBytes;
    }
    if (!this->gone && (!this->beginStream() || !this->exchange.writeChunk(data))) {
        this->gone = true;
    }
    return !this->gone;
}

// The head goes out with the first data, so that an attempt that breaks before can still be repeated.
bool CallerAnswer::beginStream()
{
    if (this->sent) {
        return true;
    }
    this->sent = true;
    LibHttp::HttpHeaders headers = this->kept.headers;
    for (const auto &[name, value] : this->streamHeaders) {
        headers[name] = value;
    }
    return this->exchange.beginStream(this->kept.status, headers);
}

void CallerAnswer::observe()
{
    const AK::Milliseconds now = this->clock.now();
    if (this->lastPartAt == 0) {
        this->metrics.observe("catkinlink_entry_first_byte_ms", {}, static_cast<double>(now - this->startedAt));
    } else {
        this->metrics.observe("catkinlink_entry_between_chunks_ms", {}, static_cast<double>(now - this->lastPartAt));
    }
    this->lastPartAt = now;
}

bool CallerAnswer::sentToCaller() const
{
    return this->sent;
}

bool CallerAnswer::callerGone() const
{
    return this->gone;
}

const LibHttp::HttpResponse &CallerAnswer::response() const
{
    return this->kept;
}

bool CallerAnswer::streams() const
{
    return this->passThrough;
}

void CallerAnswer::finishStream()
{
    if (this->beginStream()) {
        this->exchange.endStream();
    }
}

void CallerAnswer::breakStream(std::string_view errorJson)
{
    if (!this->gone) {
        this->exchange.writeChunk(AK::concat("event: error\ndata: ", errorJson, "\n\n"));
    }
}

} // namespace Entry
