#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace AK
{

/// An IP address and a TCP port.
struct Endpoint {
    std::string host;
    uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    /// "host:port".
    std::string text() const;
};

/// Parses "a.b.c.d:port". Host names are refused because processes connect by IP address.
/// Errors: kInvalidArgument with the offending text.
absl::StatusOr<Endpoint> parseEndpoint(std::string_view text);

} // namespace AK
