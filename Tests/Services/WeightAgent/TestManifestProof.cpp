#include "LoneAgent.h"

#include <gtest/gtest.h>

namespace
{

using namespace LoneAgentTest;

enum class Read { Sound, Spoilt, OtherwiseSpoilt, CutOff, Failed };

struct ReadsCase {
    const char *name;
    /// What happens to the reads of the manifest, in order; the others are sound.
    std::vector<Read> reads;
    /// Manifests that the origin may send altogether.
    size_t manifestsSent;
};

class UnreliableOrigin final : public SoundOrigin
{
public:
    explicit UnreliableOrigin(std::vector<Read> plan)
        : plan(std::move(plan))
    {
    }

    absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version) override
    {
        const Read read = this->manifestsSent < this->plan.size() ? this->plan[this->manifestsSent] : Read::Sound;
        ++this->manifestsSent;
        std::string text = *SoundOrigin::manifestText(scope, origin, name, version);
        const size_t digest = text.find(soundManifest(version).digests[1]);
        switch (read) {
        case Read::Sound:
            return text;
        case Read::Spoilt:
        case Read::OtherwiseSpoilt:
            text[digest] = read == Read::Spoilt ? (text[digest] == '0' ? '1' : '0') : (text[digest] == '2' ? '3' : '2');
            return text;
        case Read::CutOff:
            return text.substr(0, text.size() / 2);
        case Read::Failed:
            return absl::UnavailableError("connection reset");
        }
        return text;
    }
    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version, uint32_t index) override
    {
        ++this->chunksSent;
        return SoundOrigin::chunk(scope, origin, name, version, index);
    }

    std::vector<Read> plan;
    size_t manifestsSent = 0;
    size_t chunksSent = 0;
};

class ManifestProofTest : public testing::TestWithParam<ReadsCase>
{
};

// Guards against a manifest with a spoilt digest that is kept for good and passed on to other agents, while the chunk of that digest is read from the origin
// again and again.
TEST_P(ManifestProofTest, OnlyAnAgreedManifestIsKeptAndPassedOn)
{
    LibFiber::Loop loop;
    MemoryEngine engine;
    UnreliableOrigin origin(GetParam().reads);
    LoneAgent agent(loop, engine, origin);
    bool spoiltPassedOn = false;
    const auto loaded = [&] {
        const std::string text = agent.service.versions().manifest(model, newVersion);
        spoiltPassedOn = spoiltPassedOn || (!text.empty() && origin.parseManifest(text)->digests != soundManifest(newVersion).digests);
        return engine.loads > 0;
    };
    EXPECT_TRUE(agent.runUntil(loaded, 8'000));
    EXPECT_FALSE(spoiltPassedOn);
    EXPECT_LE(origin.manifestsSent, GetParam().manifestsSent);
    EXPECT_EQ(origin.chunksSent, chunkCount);
}

INSTANTIATE_TEST_SUITE_P(Table, ManifestProofTest,
                         testing::Values(ReadsCase{"sound", {}, 2}, ReadsCase{"first_spoilt", {Read::Spoilt}, 3},
                                         ReadsCase{"second_spoilt", {Read::Sound, Read::Spoilt}, 3},
                                         ReadsCase{"spoilt_twice", {Read::Spoilt, Read::OtherwiseSpoilt}, 4},
                                         ReadsCase{"cut_off", {Read::CutOff, Read::Sound, Read::CutOff}, 4},
                                         ReadsCase{"failed_between", {Read::Sound, Read::Failed, Read::Failed}, 4}),
                         [](const auto &info) { return info.param.name; });

struct CorruptChunkCase {
    const char *name;
    /// Reads of one chunk that are corrupt, and the time for which all are.
    size_t corruptReads;
    AK::Milliseconds corruptFor;
    /// Reads of that chunk within corruptFor.
    size_t mostReads;
};

class CorruptChunkOrigin final : public SoundOrigin
{
public:
    CorruptChunkOrigin(const AK::Clock &clock, const CorruptChunkCase &plan)
        : clock(clock)
        , plan(plan)
        , startedAt(clock.now())
    {
    }

    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version, uint32_t index) override
    {
        if (index != 2) {
            return SoundOrigin::chunk(scope, origin, name, version, index);
        }
        ++this->reads;
        const bool corrupt = this->reads <= this->plan.corruptReads || this->clock.now() - this->startedAt < this->plan.corruptFor;
        return corrupt ? absl::StatusOr<std::string>("corrupt") : SoundOrigin::chunk(scope, origin, name, version, index);
    }

    const AK::Clock &clock;
    CorruptChunkCase plan;
    AK::Milliseconds startedAt;
    size_t reads = 0;
};

class CorruptChunkTest : public testing::TestWithParam<CorruptChunkCase>
{
};

// Guards against agents that read a chunk that stays corrupt at the origin several times a second, each of them, for as long as it is.
TEST_P(CorruptChunkTest, IsReadLessAndLessOften)
{
    LibFiber::Loop loop;
    MemoryEngine engine;
    CorruptChunkOrigin origin(loop.clock(), GetParam());
    LoneAgent agent(loop, engine, origin);
    agent.runUntil([] { return false; }, GetParam().corruptFor);
    EXPECT_LE(origin.reads, GetParam().mostReads);
    EXPECT_TRUE(agent.runUntil([&] { return engine.loads > 0; }));
}

INSTANTIATE_TEST_SUITE_P(Table, CorruptChunkTest, testing::Values(CorruptChunkCase{"twice", 2, 0, 0}, CorruptChunkCase{"for_a_while", 0, 4'000, 4}),
                         [](const auto &info) { return info.param.name; });

// Guards against a manifest that never counts because its reads are forgotten in favour of those of other models and of higher versions.
TEST(ManifestProof, ForgetsTheOldestReads)
{
    const auto manifestOf = [](int64_t version) {
        return WeightAgent::WeightsManifest{version, 1, {"digest"}};
    };
    WeightAgent::ManifestProof proof;
    EXPECT_FALSE(proof.confirm("z", manifestOf(2)));
    EXPECT_FALSE(proof.confirm("z", manifestOf(3)));
    EXPECT_FALSE(proof.confirm("a", manifestOf(1)));
    EXPECT_TRUE(proof.confirm("a", manifestOf(1)));
    EXPECT_TRUE(proof.confirm("z", manifestOf(3)));
    EXPECT_FALSE(proof.confirm("z", manifestOf(2)));
}

} // namespace
