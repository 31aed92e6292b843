#pragma once

#include <AK/Clock.h>
#include <LibHttp/HttpServer.h>
#include <LibMetrics/MetricRegistry.h>

namespace Entry
{

/// The response of one call: buffered until it is complete, or forwarded part by part when the caller requested a stream.
class CallerResponse
{
public:
    /// `exchange` is only used for streams. `startedAt` is the monotonic time at which the request arrived.
    CallerResponse(LibHttp::HttpExchange &exchange, bool streamRequested, const AK::Clock &clock, AK::Milliseconds startedAt,
                   LibMetrics::MetricRegistry &metrics);

    /// Sets the headers that this entry adds to a stream.
    void setStreamHeaders(LibHttp::HttpHeaders headers);

    /// Begins the response of an attempt and discards what an earlier attempt has buffered.
    void begin(int status, const LibHttp::HttpHeaders &headers);

    /// Returns false when the caller has disconnected or the response is too large to buffer (8 MiB). The end marker of a stream is held until finishStream().
    bool append(std::string_view data);

    /// A part of the response was sent to the caller, so no other attempt can be made.
    bool sentToCaller() const;
    bool callerDisconnected() const;
    const LibHttp::HttpResponse &bufferedResponse() const;

    /// Ends a complete stream; begins it first when no data was sent.
    void finishStream();
    /// Sends an error event to the caller of a stream and doesn't end the stream, so that the caller sees that the response is incomplete.
    void abortStream(std::string_view errorJson);
    /// The response is forwarded as a stream.
    bool isStreaming() const;

private:
    bool beginStream();
    void observeLatency();

    LibHttp::HttpExchange &exchange;
    bool streamRequested;
    const AK::Clock &clock;
    AK::Milliseconds startedAt;
    LibMetrics::MetricRegistry &metrics;
    LibHttp::HttpHeaders streamHeaders;
    LibHttp::HttpResponse buffered;
    bool streaming = false;
    bool streamStarted = false;
    /// End of the stream, which is sent with the final chunk.
    std::string heldEnd;
    bool disconnected = false;
    AK::Milliseconds lastPartAt = 0;
};

} // namespace Entry
