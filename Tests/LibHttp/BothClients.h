#pragma once

#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <absl/status/statusor.h>
#include <array>
#include <string>

/// The clients for calls of this system's own, beside the one for calls of clients.
enum class Client {
    /// For the store, the origin, reports, orders and staging.
    Persistent,
    /// For the upstreams of the product's own site, and for the operator's command.
    PerCall,
};

inline constexpr std::array clientNames{AK::EnumName{Client::Persistent, "persistent"}, AK::EnumName{Client::PerCall, "per_call"}};

/// The body of the answer that the client takes for a whole one, or why there is none.
absl::StatusOr<std::string> bodyFor(Client client, const AK::Endpoint &address, size_t uploadBytes);

/// An address on loopback that no other test of this program has.
AK::Endpoint nextAddress();
