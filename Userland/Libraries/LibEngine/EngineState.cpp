#include <LibEngine/EngineState.h>

namespace LibEngine
{

std::optional<VerifiedEngine> EngineState::verified(AK::Milliseconds now, AK::Milliseconds maxAge) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->engine || now - this->engine->confirmedAt > maxAge) {
        return std::nullopt;
    }
    return this->engine;
}

void EngineState::confirm(VerifiedEngine engine)
{
    const std::lock_guard lock(this->mutex);
    if (engine.fingerprint != this->lastFingerprint) {
        this->lastFingerprint = engine.fingerprint;
        ++this->epochNumber;
    }
    this->engine = std::move(engine);
}

void EngineState::markUnverified()
{
    const std::lock_guard lock(this->mutex);
    this->engine.reset();
}

uint64_t EngineState::epoch() const
{
    const std::lock_guard lock(this->mutex);
    return this->epochNumber;
}

} // namespace LibEngine
