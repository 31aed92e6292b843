#pragma once

#include <AK/Clock.h>
#include <LibHttp/HttpServer.h>
#include <LibMetrics/MetricRegistry.h>

namespace Entry
{

/// The answer of one call on its way to the caller: kept until it is whole, or passed on part by part when the caller asked for a stream.
class CallerAnswer
{
public:
    /// `exchange` is only used for streams. `startedAt` is the monotonic time of the request.
    CallerAnswer(LibHttp::HttpExchange &exchange, bool stream, const AK::Clock &clock, AK::Milliseconds startedAt, LibMetrics::MetricRegistry &metrics);

    /// Headers that this entry adds to a stream.
    void setStreamHeaders(LibHttp::HttpHeaders headers);

    /// Begins the answer of an attempt; drops what an earlier attempt has left.
    void begin(int status, const LibHttp::HttpHeaders &headers);

    /// False when the caller is gone or the answer is too large to keep.
    bool append(std::string_view data);

    /// Something was sent to the caller.
    bool sentToCaller() const;
    bool callerGone() const;
    const LibHttp::HttpResponse &response() const;

    /// Ends a stream that is whole; begins it first when it has no data.
    void finishStream();
    /// Tells a stream's caller that the answer is not whole; the stream gets no end.
    void breakStream(std::string_view errorJson);
    bool streams() const;

private:
    bool beginStream();
    void observe();

    LibHttp::HttpExchange &exchange;
    bool stream;
    const AK::Clock &clock;
    AK::Milliseconds startedAt;
    LibMetrics::MetricRegistry &metrics;
    LibHttp::HttpHeaders streamHeaders;
    LibHttp::HttpResponse kept;
    bool passThrough = false;
    bool sent = false;
    bool gone = false;
    AK::Milliseconds lastPartAt = 0;
};

} // namespace Entry
