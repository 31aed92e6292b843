#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/Random.h>
#include <absl/status/status.h>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace LibWire
{

/// A shared key of the processes of a site.
struct SharedKey {
    std::string id;
    std::string secret;
};

/// Proof that a process holds a key. Bound to one target address and valid once.
struct LoginProof {
    std::string keyId;
    std::string process;
    uint64_t timeMs = 0;
    std::string nonce;
    std::string mac;
};

/// Signs and verifies login proofs. Signs with the first key and accepts all keys, so that keys can be rotated without an outage. Thread-safe.
class KeyRing
{
public:
    /// Proofs whose time differs by more than this are refused; nonces are remembered for twice as long.
    static constexpr AK::Milliseconds proofLifetimeMs = 30'000;

    KeyRing(std::vector<SharedKey> keys, const AK::Clock &clock);

    LoginProof sign(std::string_view process, const AK::Endpoint &target);

    /// Errors: kUnauthenticated naming the reason (unknown key, wrong MAC, too old, replayed); kResourceExhausted when too many nonces are remembered.
    absl::Status verify(const LoginProof &proof, const AK::Endpoint &self);

private:
    absl::Status rememberNonce(const std::string &nonce, AK::Milliseconds now);

    std::vector<SharedKey> keys;
    const AK::Clock &clock;
    std::mutex mutex;
    AK::Random random;
    std::set<std::string> nonces;
    std::deque<std::pair<AK::Milliseconds, std::string>> nonceAges;
};

} // namespace LibWire
