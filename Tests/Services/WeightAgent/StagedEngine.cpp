#include "StagedEngine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace LoneAgentTest
{

using namespace WeightAgent;

namespace
{

constexpr AK::Milliseconds loadTime = 150;
constexpr AK::Milliseconds timeout = 100;

} // namespace

std::string versionChunk(int64_t version, uint32_t index)
{
    return "chunk " + std::to_string(index) + " of version " + std::to_string(version);
}

VersionedOrigin::VersionedOrigin(LibFiber::Loop &loop)
    : loop(loop)
{
}

absl::StatusOr<std::string> VersionedOrigin::manifestText(kj::WaitScope & /*scope*/, const AK::Endpoint & /*origin*/, const std::string & /*name*/,
                                                          int64_t version)
{
    nlohmann::json digests = nlohmann::json::array();
    for (uint32_t i = 0; i < chunkCount; ++i) {
        digests.push_back(AK::sha256Hex(versionChunk(version, i)));
    }
    return nlohmann::json{{"version", version}, {"digests", digests}}.dump();
}

absl::StatusOr<std::string> VersionedOrigin::chunk(kj::WaitScope &scope, const AK::Endpoint & /*origin*/, const std::string & /*name*/, int64_t version,
                                                   uint32_t index)
{
    this->loop.sleep(scope, 5);
    const bool sent = this->open || index + 1 < chunkCount;
    return sent ? absl::StatusOr<std::string>(versionChunk(version, index)) : absl::UnavailableError("withheld");
}

StagedEngine::StagedEngine(int64_t loaded)
    : loadedVersion(loaded)
{
    for (uint32_t i = 0; i < chunkCount; ++i) {
        this->staged[i] = versionChunk(loaded, i);
    }
}

void StagedEngine::useLoop(LibFiber::Loop &current)
{
    this->loop = &current;
}

absl::Status StagedEngine::arrive(kj::WaitScope &scope, EngineCall call, uint32_t index)
{
    this->loop->sleep(scope, this->callTime);
    this->applyEffects();
    if (this->isUp()) {
        this->observer(call, index);
    }
    return this->isUp() ? absl::OkStatus() : absl::UnavailableError("the engine is down");
}

void StagedEngine::applyEffects()
{
    const AK::Milliseconds now = this->loop->clock().now();
    if (this->downUntil && now >= *this->downUntil) {
        this->downUntil.reset();
        this->startTime = this->loop->clock().wallTime();
    }
    std::vector<Effect> due;
    std::erase_if(this->effects, [&](Effect &effect) {
        const bool isDue = effect.dueAt <= now;
        if (isDue) {
            due.push_back(std::move(effect));
        }
        return isDue;
    });
    for (const Effect &effect : due) {
        effect.apply();
    }
}

void StagedEngine::after(AK::Milliseconds delay, std::function<void()> effect, bool survivesCrash)
{
    this->effects.push_back({this->loop->clock().now() + delay, survivesCrash, std::move(effect)});
}

void StagedEngine::crash(AK::Milliseconds downTime)
{
    this->downUntil = this->loop->clock().now() + downTime;
    this->loadedVersion = 0;
    this->sequence = 0;
    this->busy = false;
    std::erase_if(this->effects, [](const Effect &effect) { return !effect.survivesCrash; });
}

bool StagedEngine::isUp() const
{
    return !this->downUntil;
}

absl::StatusOr<EngineStatus> StagedEngine::status(kj::WaitScope &scope)
{
    if (absl::Status arrived = this->arrive(scope, EngineCall::Status, 0); !arrived.ok()) {
        return arrived;
    }
    EngineStatus status;
    status.report.weightsVersion = this->loadedVersion;
    status.report.startTime = this->startTime;
    status.report.running = this->running;
    status.busy = this->busy;
    status.commandSequence = this->sequence;
    return status;
}

absl::Status StagedEngine::stageChunk(kj::WaitScope &scope, const std::string & /*name*/, uint32_t index, const std::string &data)
{
    if (absl::Status arrived = this->arrive(scope, EngineCall::Write, index); !arrived.ok()) {
        return arrived;
    }
    if (this->lateWrite) {
        this->after(*std::exchange(this->lateWrite, std::nullopt), [this, index, data] { this->staged[index] = data; });
        this->loop->sleep(scope, timeout);
        return absl::DeadlineExceededError("no answer");
    }
    this->staged[index] = data;
    return absl::OkStatus();
}

absl::StatusOr<std::string> StagedEngine::stagedChunk(kj::WaitScope &scope, const std::string & /*name*/, uint32_t index)
{
    if (absl::Status arrived = this->arrive(scope, EngineCall::Read, index); !arrived.ok()) {
        return arrived;
    }
    const auto found = this->staged.find(index);
    return found == this->staged.end() ? absl::StatusOr<std::string>(absl::NotFoundError("not staged")) : found->second;
}

LoadOutcome StagedEngine::accept(int64_t version, int64_t expectedSequence)
{
    if (this->busy || expectedSequence != this->sequence) {
        return LoadOutcome::Conflict;
    }
    ++this->sequence;
    this->loads.push_back(version);
    for (uint32_t i = 0; i < chunkCount; ++i) {
        const auto found = this->staged.find(i);
        if (found == this->staged.end() || found->second != versionChunk(version, i)) {
            this->mixedLoads.push_back("load of version " + std::to_string(version) + " took " + (found == this->staged.end() ? "no chunk" : found->second));
        }
    }
    this->busy = true;
    this->loadedVersion = 0;
    this->after(loadTime, [this, version] {
        this->busy = false;
        this->loadedVersion = version;
    });
    return LoadOutcome::Accepted;
}

absl::StatusOr<LoadOutcome> StagedEngine::load(kj::WaitScope &scope, const std::string & /*name*/, int64_t version, LoadStrategy /*strategy*/,
                                               int64_t expectedSequence)
{
    if (absl::Status arrived = this->arrive(scope, EngineCall::Load, 0); !arrived.ok()) {
        return arrived;
    }
    if (this->lateLoad) {
        this->after(*std::exchange(this->lateLoad, std::nullopt), [this, version, expectedSequence] { this->accept(version, expectedSequence); });
        this->loop->sleep(scope, timeout);
        return absl::DeadlineExceededError("no answer");
    }
    return this->accept(version, expectedSequence);
}

} // namespace LoneAgentTest
