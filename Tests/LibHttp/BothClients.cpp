#include "BothClients.h"

#include <LibHttp/HttpClient.h>
#include <LibHttpStream/HttpClient.h>
#include <Loopback/ProcessHost.h>

namespace
{

constexpr AK::Milliseconds callTimeout = 2'000;

} // namespace

absl::StatusOr<std::string> bodyFor(Client client, const AK::Endpoint &address, size_t uploadBytes)
{
    const std::string upload(uploadBytes, 'u');
    if (client == Client::PerCall) {
        LibHttp::HttpRequest request;
        request.method = "PUT";
        request.body = upload;
        const auto response = LibHttp::httpCall(address, request, callTimeout);
        return response.ok() ? absl::StatusOr<std::string>(response->body) : response.status();
    }
    LibFiber::Loop loop;
    LibHttpStream::HttpClient persistent(loop, address);
    const AK::Milliseconds deadline = loop.clock().now() + callTimeout;
    const auto response = persistent.call(loop.rootScope(), "PUT", "/", upload, deadline, deadline);
    return response.ok() ? absl::StatusOr<std::string>(response->body) : response.status();
}

AK::Endpoint nextAddress()
{
    static uint16_t port = 18'100;
    return {Loopback::processHost(), ++port};
}
