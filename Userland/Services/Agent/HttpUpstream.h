#pragma once

#include <Services/Agent/Upstream.h>

namespace Agent
{

/// An upstream reached over HTTP, with one connection per call.
class HttpUpstream final : public Upstream
{
public:
    explicit HttpUpstream(AK::Endpoint address);

    absl::StatusOr<std::unique_ptr<UpstreamResponse>> open(const LibHttp::HttpRequest &request, AK::Milliseconds timeout) override;

private:
    AK::Endpoint address;
};

} // namespace Agent
