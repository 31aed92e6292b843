#include "StagingArea.h"

#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// Staged chunks may become corrupt at any time, so a load must follow their comparison within this time.
constexpr AK::Milliseconds comparisonMaxAge = 2'000;
// With a longer time between two answers, because the engine or this process stood still, nothing shows that the engine answered meanwhile.
constexpr AK::Milliseconds maxAnswerGap = 1'000;
// When the first chunks all belong to another version, so do the others.
constexpr uint32_t adoptionProbes = 4;

} // namespace

bool StagingArea::Comparison::provesStaged(const EngineStatus &status) const
{
    return this->staged == 0 && this->check.holds() && this->engineStart == status.report.startTime;
}

StagingArea::Reservation::Reservation(StagingArea &area, int64_t version)
    : area(area)
{
    this->area.reservedFor = version;
}

StagingArea::Reservation::~Reservation()
{
    this->area.reservedFor.reset();
}

StagingArea::StagingArea(LibFiber::Loop &loop, EngineControl &engine)
    : loop(loop)
    , engine(engine)
    , createdAt(loop.clock().wallTime())
{
    // The process that ran here before may have ended in the middle of a call.
    const UnansweredCall ofPreviousProcess{std::nullopt, loop.clock().now(), 0, std::nullopt};
    this->unansweredWrites.push_back(ofPreviousProcess);
    this->unansweredLoads.push_back(ofPreviousProcess);
}

void StagingArea::noteStatus(const absl::StatusOr<EngineStatus> &read)
{
    if (!read.ok()) {
        this->contact.answeringSince.reset();
        return;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    if (!this->contact.answeringSince || now - this->answeredAt > maxAnswerGap) {
        this->contact.answeringSince = now;
    }
    this->answeredAt = now;
    this->contact.startTime = read->report.startTime;
    this->contact.commandSequence = read->commandSequence;
    const auto isOver = [&](const UnansweredCall &call) {
        const bool reachedEarlierEngine = !call.version && this->contact.startTime > this->createdAt;
        return reachedEarlierEngine || !mayStillRun(call, this->contact, now);
    };
    std::erase_if(this->unansweredWrites, isOver);
    std::erase_if(this->unansweredLoads, isOver);
}

bool StagingArea::mayRunLater(const std::vector<UnansweredCall> &calls, int64_t version) const
{
    const AK::Milliseconds now = this->loop.clock().now();
    return std::ranges::any_of(calls, [&](const UnansweredCall &call) { return call.version != version && mayStillRun(call, this->contact, now); });
}

bool StagingArea::mayStage(int64_t version) const
{
    return (!this->reservedFor || this->reservedFor == version) && !this->mayRunLater(this->unansweredLoads, version);
}

bool StagingArea::isSettled(int64_t version) const
{
    const bool otherInFlight = std::ranges::any_of(this->writing, [&](int64_t written) { return written != version; });
    return !otherInFlight && !this->mayRunLater(this->unansweredWrites, version) && !this->mayRunLater(this->unansweredLoads, version);
}

bool StagingArea::holds(int64_t version, uint32_t index) const
{
    const auto found = this->contents.find(index);
    return found != this->contents.end() && found->second == version;
}

void StagingArea::addUnanswered(std::vector<UnansweredCall> &calls, int64_t version, std::optional<int64_t> expectedSequence) const
{
    const UnansweredCall added{version, this->loop.clock().now(), this->contact.startTime, expectedSequence};
    std::erase_if(calls, [&](const UnansweredCall &call) {
        return call.version == added.version && call.engineStart == added.engineStart && call.expectedSequence == added.expectedSequence;
    });
    calls.push_back(added);
}

absl::Status StagingArea::stage(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, uint32_t index)
{
    const int64_t version = held.manifest().version;
    if (!this->mayStage(version)) {
        return absl::FailedPreconditionError(AK::concat("the staging area is in use for another version than ", version));
    }
    this->contents.erase(index);
    const auto written = this->writing.insert(version);
    absl::Status status = this->engine.stageChunk(scope, model, index, held.chunk(index));
    this->writing.erase(written);
    if (status.ok()) {
        this->contents[index] = version;
    } else {
        this->logger.info("chunk_not_staged", {{"version", version}, {"chunk", index}, {"reason", std::string(status.message())}});
        this->addUnanswered(this->unansweredWrites, version, std::nullopt);
    }
    return status;
}

std::optional<StagingArea::Comparison> StagingArea::compare(kj::WaitScope &scope, const std::string &model, const HeldVersion &held,
                                                            const std::function<bool()> &wanted)
{
    const int64_t version = held.manifest().version;
    Comparison compared{AK::RecentCheck(this->loop.clock(), comparisonMaxAge), 0, this->contact.startTime};
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        const absl::StatusOr<std::string> staged = this->engine.stagedChunk(scope, model, i);
        const bool failed = !staged.ok() && !absl::IsNotFound(staged.status());
        if (failed || !wanted()) {
            return std::nullopt;
        }
        if (staged.ok() && *staged == held.chunk(i)) {
            this->contents[i] = version;
            continue;
        }
        if (!this->stage(scope, model, held, i).ok()) {
            return std::nullopt;
        }
        ++compared.staged;
    }
    return wanted() ? std::optional(compared) : std::nullopt;
}

void StagingArea::adopt(kj::WaitScope &scope, const std::string &model, HeldVersion &held, const std::function<bool()> &wanted)
{
    for (uint32_t i = 0; i < held.chunkCount() && wanted(); ++i) {
        absl::StatusOr<std::string> data = this->engine.stagedChunk(scope, model, i);
        if (!data.ok() && !absl::IsNotFound(data.status())) {
            break;
        }
        if (data.ok() && held.put(i, std::move(*data)).ok()) {
            this->contents[i] = held.manifest().version;
        }
        if (i + 1 == adoptionProbes && held.heldCount() == 0) {
            break;
        }
    }
    this->logger.info("staged_chunks_taken", {{"version", held.manifest().version}, {"chunks", held.heldCount()}, {"of", held.chunkCount()}});
}

absl::StatusOr<LoadOutcome> StagingArea::load(kj::WaitScope &scope, const std::string &model, int64_t version, LoadStrategy strategy, int64_t expectedSequence)
{
    absl::StatusOr<LoadOutcome> outcome = this->engine.load(scope, model, version, strategy, expectedSequence);
    if (!outcome.ok()) {
        this->addUnanswered(this->unansweredLoads, version, expectedSequence);
    }
    return outcome;
}

} // namespace WeightAgent
