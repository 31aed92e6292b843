#pragma once

#include <LibHttp/HttpClient.h>
#include <memory>

namespace Agent
{

/// A response that is being read from an upstream. The destructor closes the connection.
class UpstreamResponse
{
public:
    virtual ~UpstreamResponse() = default;
    virtual int status() const = 0;
    virtual const LibHttp::HttpHeaders &headers() const = 0;
    /// Blocks and fails as LibHttp::HttpStream::readLine().
    virtual absl::StatusOr<std::optional<std::string>> readLine() = 0;
    /// Blocks and fails as LibHttp::HttpStream::readAll().
    virtual absl::StatusOr<std::string> readAll(size_t limit) = 0;
    /// Waits as LibHttp::HttpStream::waitForActivity().
    virtual void waitForActivity() = 0;
    /// As LibHttp::HttpStream::cancel().
    virtual void cancel() = 0;
};

/// The engine or plain service on this host. Thread-safe.
class Upstream
{
public:
    virtual ~Upstream() = default;
    /// Sends the request and waits for the head of the response. `timeout` ms bound the whole response. Fails as LibHttp::HttpStream::open(), with a SendState.
    virtual absl::StatusOr<std::unique_ptr<UpstreamResponse>> open(const LibHttp::HttpRequest &request, AK::Milliseconds timeout) = 0;
};

} // namespace Agent
