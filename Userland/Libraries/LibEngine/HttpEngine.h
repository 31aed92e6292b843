#pragma once

#include <AK/Endpoint.h>
#include <LibEngine/Engine.h>

namespace LibEngine
{

/// An engine reached over HTTP. A completion is read by a thread of its own into a queue, because a body read blocks. A reader that is abandoned ends
/// with its connection, at the latest when the timeout of the completion has passed or the engine has sent nothing for 30 s.
class HttpEngine final : public Engine
{
public:
    explicit HttpEngine(AK::Endpoint endpoint);

    absl::StatusOr<EngineStatus> status(AK::Milliseconds timeout) override;
    absl::Status load(const LoadCommand &command, AK::Milliseconds timeout) override;
    absl::StatusOr<std::unique_ptr<Completion>> complete(const LibHttp::HttpRequest &request, bool stream, AK::Milliseconds timeout) override;

private:
    AK::Endpoint endpoint;
};

} // namespace LibEngine
