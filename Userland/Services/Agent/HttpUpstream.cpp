#include <Services/Agent/HttpUpstream.h>

#include <AK/StatusMacros.h>

namespace Agent
{

namespace
{

class HttpUpstreamResponse final : public UpstreamResponse
{
public:
    explicit HttpUpstreamResponse(std::unique_ptr<LibHttp::HttpStream> stream)
        : stream(std::move(stream))
    {
    }

    int status() const override
    {
        return this->stream->status();
    }

    const LibHttp::HttpHeaders &headers() const override
    {
        return this->stream->headers();
    }

    absl::StatusOr<std::optional<std::string>> readLine() override
    {
        return this->stream->readLine();
    }

    absl::StatusOr<std::string> readAll(size_t limit) override
    {
        return this->stream->readAll(limit);
    }

    void waitForActivity() override
    {
        this->stream->waitForActivity();
    }

    void cancel() override
    {
        this->stream->cancel();
    }

private:
    std::unique_ptr<LibHttp::HttpStream> stream;
};

} // namespace

HttpUpstream::HttpUpstream(AK::Endpoint address)
    : address(std::move(address))
{
}

absl::StatusOr<std::unique_ptr<UpstreamResponse>> HttpUpstream::open(const LibHttp::HttpRequest &request, AK::Milliseconds timeout)
{
    CATKINLINK_ASSIGN(auto stream, LibHttp::HttpStream::open(this->address, request, timeout));
    return std::unique_ptr<UpstreamResponse>(new HttpUpstreamResponse(std::move(stream)));
}

} // namespace Agent
