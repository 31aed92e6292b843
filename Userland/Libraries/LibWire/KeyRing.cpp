#include <LibWire/KeyRing.h>

#include <AK/Hash.h>
#include <AK/Text.h>
#include <cstdlib>

namespace LibWire
{

namespace
{

// Bounds the memory of the replay check. A process sees far fewer than 100,000 logins a minute.
constexpr size_t nonceLimit = 100'000;
constexpr size_t nonceMaxLength = 64;

std::string signedText(const LoginProof &proof, const AK::Endpoint &target)
{
    return AK::concat(proof.keyId, "\n", proof.process, "\n", proof.timeMs, "\n", proof.nonce, "\n", target.text());
}

} // namespace

KeyRing::KeyRing(std::vector<SharedKey> keys, const AK::Clock &clock)
    : keys(std::move(keys))
    , clock(clock)
    , random(AK::seededFromSystem())
{
}

LoginProof KeyRing::sign(std::string_view process, const AK::Endpoint &target)
{
    LoginProof proof;
    proof.process = process;
    proof.timeMs = static_cast<uint64_t>(this->clock.wallTime());
    {
        const std::lock_guard lock(this->mutex);
        proof.nonce = AK::randomHex(this->random, 24);
    }
    if (!this->keys.empty()) {
        proof.keyId = this->keys.front().id;
        proof.mac = AK::hmacSha256Hex(this->keys.front().secret, signedText(proof, target));
    }
    return proof;
}

absl::Status KeyRing::verify(const LoginProof &proof, const AK::Endpoint &self)
{
    const SharedKey *key = nullptr;
    for (const SharedKey &candidate : this->keys) {
        if (candidate.id == proof.keyId) {
            key = &candidate;
        }
    }
    if (key == nullptr) {
        return absl::UnauthenticatedError(AK::concat("login of process \"", proof.process, "\" names unknown key \"", proof.keyId, "\""));
    }
    if (!AK::equalInConstantTime(AK::hmacSha256Hex(key->secret, signedText(proof, self)), proof.mac)) {
        return absl::UnauthenticatedError(AK::concat("login of process \"", proof.process, "\" has a wrong code for key \"", proof.keyId, "\""));
    }
    const AK::Milliseconds age = this->clock.wallTime() - static_cast<AK::Milliseconds>(proof.timeMs);
    if (std::llabs(age) > proofLifetimeMs) {
        return absl::UnauthenticatedError(AK::concat("login of process \"", proof.process, "\" is ", age, " ms old, the limit is ", proofLifetimeMs, " ms"));
    }
    if (proof.nonce.empty() || proof.nonce.size() > nonceMaxLength) {
        return absl::UnauthenticatedError(AK::concat("login of process \"", proof.process, "\" has a nonce of ", proof.nonce.size(), " bytes"));
    }
    return this->rememberNonce(proof.nonce, this->clock.now());
}

absl::Status KeyRing::rememberNonce(const std::string &nonce, AK::Milliseconds now)
{
    const std::lock_guard lock(this->mutex);
    while (!this->nonceAges.empty() && this->nonceAges.front().first + 2 * proofLifetimeMs < now) {
        this->nonces.erase(this->nonceAges.front().second);
        this->nonceAges.pop_front();
    }
    if (this->nonces.size() >= nonceLimit) {
        return absl::ResourceExhaustedError(AK::concat("more than ", nonceLimit, " logins within ", 2 * proofLifetimeMs, " ms"));
    }
    if (!this->nonces.insert(nonce).second) {
        return absl::UnauthenticatedError("login was replayed: its nonce has been seen");
    }
    this->nonceAges.emplace_back(now, nonce);
    return absl::OkStatus();
}

} // namespace LibWire
