#include <Services/Entry/CallerResponse.h>

#include <AK/Text.h>

namespace Entry
{

namespace
{

constexpr size_t responseLimitBytes = size_t{8} << 20;
// Last event of a completion stream.
constexpr std::string_view endMarker = "data: [DONE]\n\n";

// Headers that are not forwarded to the caller: those of one connection, and those that only an entry may set.
bool isStrippedHeader(std::string_view name)
{
    return name == "connection" || name == "content-length" || name == "transfer-encoding" || name == "keep-alive" || name.starts_with("x-catkinlink-");
}

} // namespace

CallerResponse::CallerResponse(LibHttp::HttpExchange &exchange, bool streamRequested, const AK::Clock &clock, AK::Milliseconds startedAt,
                               LibMetrics::MetricRegistry &metrics)
    : exchange(exchange)
    , streamRequested(streamRequested)
    , clock(clock)
    , startedAt(startedAt)
    , metrics(metrics)
{
}

void CallerResponse::setStreamHeaders(LibHttp::HttpHeaders headers)
{
    this->streamHeaders = std::move(headers);
}

void CallerResponse::begin(int status, const LibHttp::HttpHeaders &headers)
{
    this->buffered = {status, {}, {}};
    for (const auto &[name, value] : headers) {
        if (!isStrippedHeader(name)) {
            this->buffered.headers[name] = value;
        }
    }
    // An error is buffered even if a stream was requested, so that it is sent with its status and length.
    this->streaming = this->streamRequested && status == 200;
}

bool CallerResponse::append(std::string_view data)
{
    this->observeLatency();
    if (!this->streaming) {
        this->buffered.body += data;
        return this->buffered.body.size() <= responseLimitBytes;
    }
    if (data.ends_with(endMarker)) {
        // Not sent before the outcome is known: a caller takes it for the end of a whole response.
        this->heldEnd += data;
        return !this->disconnected;
    }
    if (!this->disconnected && (!this->beginStream() || !this->exchange.writeChunk(data))) {
        this->disconnected = true;
    }
    return !this->disconnected;
}

// The head is sent with the first data, so that an attempt that fails before can still be retried.
bool CallerResponse::beginStream()
{
    if (this->streamStarted) {
        return true;
    }
    this->streamStarted = true;
    LibHttp::HttpHeaders headers = this->buffered.headers;
    for (const auto &[name, value] : this->streamHeaders) {
        headers[name] = value;
    }
    return this->exchange.beginStream(this->buffered.status, headers);
}

void CallerResponse::observeLatency()
{
    const AK::Milliseconds now = this->clock.now();
    if (this->lastPartAt == 0) {
        this->metrics.observe("catkinlink_entry_first_byte_ms", {}, static_cast<double>(now - this->startedAt));
    } else {
        this->metrics.observe("catkinlink_entry_between_chunks_ms", {}, static_cast<double>(now - this->lastPartAt));
    }
    this->lastPartAt = now;
}

bool CallerResponse::sentToCaller() const
{
    return this->streamStarted;
}

bool CallerResponse::callerDisconnected() const
{
    return this->disconnected;
}

const LibHttp::HttpResponse &CallerResponse::bufferedResponse() const
{
    return this->buffered;
}

bool CallerResponse::isStreaming() const
{
    return this->streaming;
}

void CallerResponse::finishStream()
{
    if (this->beginStream()) {
        this->exchange.endStream(this->heldEnd);
    }
}

void CallerResponse::abortStream(std::string_view errorJson)
{
    if (!this->disconnected) {
        this->exchange.writeChunk(AK::concat("event: error\ndata: ", errorJson, "\n\n"));
    }
}

} // namespace Entry
