#include <AK/Endpoint.h>

#include <AK/Text.h>
#include <arpa/inet.h>

namespace AK
{

std::string Endpoint::text() const
{
    return AK::concat(this->host, ":", this->port);
}

absl::StatusOr<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    const int64_t port = colon == std::string_view::npos ? 0 : AK::parseInteger(text.substr(colon + 1)).value_or(0);
    // Refuses leading zeros: other parsers read them as octal, and the accepted text must equal that of Endpoint::text().
    const bool leadingZero = colon != std::string_view::npos && text.substr(colon + 1).starts_with('0');
    if (leadingZero || port < 1 || port > 65535) {
        return absl::InvalidArgumentError(AK::concat("address \"", text, "\" is not IP:port with a port from 1 to 65535"));
    }
    Endpoint endpoint{std::string(text.substr(0, colon)), static_cast<uint16_t>(port)};
    in_addr parsed{};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1) {
        return absl::InvalidArgumentError(AK::concat("address \"", text, "\" does not start with an IPv4 address"));
    }
    return endpoint;
}

} // namespace AK
