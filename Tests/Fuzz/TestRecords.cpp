#include "Mutation.h"

#include <AK/Text.h>
#include <LibEngine/Engine.h>
#include <LibHttp/HttpServer.h>
#include <LibObjectStore/HttpObjectStore.h>
#include <LibOnce/ClaimRecord.h>
#include <LibWeights/Manifest.h>
#include <Services/Agent/ResponseCheck.h>
#include <gtest/gtest.h>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace
{

const std::string digest(64, 'b');

LibOnce::ClaimRecord doneClaim()
{
    LibOnce::ClaimRecord record;
    record.state = LibOnce::ClaimState::Done;
    record.nonce = std::string(32, 'c');
    record.bodyDigest = digest;
    record.owner = "entry-1";
    record.account = "counter";
    record.service = "dossier";
    record.method = "POST";
    record.path = "/grants";
    record.idempotencyKey = "grant-17";
    record.claimedAt = 1'000;
    record.expiresAt = 2'000;
    record.recordedResponse = LibOnce::toRecordedResponse({200, {{"content-type", "application/json"}}, R"({"paid":true})"});
    return record;
}

// Guards against a damaged claim that crashes an entry or is replayed with a body of a different length than the upstream sent.
TEST(FuzzRecords, Claims)
{
    AK::Random random(FuzzTest::fuzzSeed());
    const std::string valid = LibOnce::serializeClaim(doneClaim());
    ASSERT_TRUE(LibOnce::parseClaim(valid).ok());
    int accepted = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(20'000); ++i) {
        const std::string text = FuzzTest::mutate(valid, random);
        const auto record = LibOnce::parseClaim(text);
        if (!record.ok()) {
            ASSERT_EQ(record.status().code(), absl::StatusCode::kInvalidArgument) << testing::PrintToString(text);
            continue;
        }
        ++accepted;
        ASSERT_TRUE(record->state != LibOnce::ClaimState::Done || !record->recordedResponse.bodyKept
                    || record->recordedResponse.response.body.size() == record->recordedResponse.bodyBytes)
            << testing::PrintToString(text);
        const auto reparsed = LibOnce::parseClaim(LibOnce::serializeClaim(*record));
        ASSERT_TRUE(reparsed.ok()) << reparsed.status() << " of " << testing::PrintToString(text);
        ASSERT_TRUE(reparsed->state == record->state && reparsed->nonce == record->nonce
                    && reparsed->recordedResponse.response.body == record->recordedResponse.response.body);
    }
    std::cout << "accepted " << accepted << " mutated claims\n";
    EXPECT_GT(accepted, 0);
}

// Guards against a manifest that crashes an agent or whose chunks do not cover its files, and against an altered manifest that keeps the pinned root.
TEST(FuzzRecords, Manifests)
{
    AK::Random random(FuzzTest::fuzzSeed());
    LibWeights::Manifest manifest{"m", "a", "1", 65'536, {{"one.safetensors", 100'000, {digest, std::string(64, 'd')}}, {"two", 10, {digest}}}};
    const std::string valid = LibWeights::serializeManifest(manifest);
    const std::string root = LibWeights::rootOf(manifest);
    ASSERT_TRUE(LibWeights::parseManifest(valid).ok());
    int accepted = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(20'000); ++i) {
        const std::string text = FuzzTest::mutate(valid, random);
        const auto parsed = LibWeights::parseManifest(text);
        if (!parsed.ok()) {
            ASSERT_FALSE(parsed.status().message().empty());
            continue;
        }
        ++accepted;
        uint64_t sum = 0;
        for (const LibWeights::ChunkReference &chunk : parsed->chunks()) {
            sum += chunk.bytes;
            ASSERT_LE(chunk.bytes, parsed->chunkBytes) << testing::PrintToString(text);
        }
        ASSERT_EQ(sum, parsed->totalBytes()) << testing::PrintToString(text);
        const bool unchanged = LibWeights::canonicalText(*parsed) == LibWeights::canonicalText(manifest);
        ASSERT_EQ(LibWeights::rootOf(*parsed) == root, unchanged) << testing::PrintToString(text);
    }
    std::cout << "accepted " << accepted << " mutated manifests\n";
    EXPECT_GT(accepted, 0);
}

// Guards against an altered response of an engine that is taken for one from the verified weights.
TEST(FuzzRecords, EngineResponses)
{
    AK::Random random(FuzzTest::fuzzSeed());
    const std::string fingerprint = "e1-4-0123456789abcdef";
    const std::string valid = nlohmann::json{{"system_fingerprint", fingerprint}, {"choices", {{{"text", "resin"}}}}}.dump();
    ASSERT_EQ(Agent::checkResponse(valid, fingerprint), Agent::ResponseMatch::Match);
    int matched = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(20'000); ++i) {
        const std::string text = FuzzTest::mutate(valid, random);
        if (Agent::checkResponse(text, fingerprint) == Agent::ResponseMatch::Match) {
            ++matched;
            ASSERT_NE(text.find(fingerprint), std::string::npos) << testing::PrintToString(text);
        }
    }
    std::cout << "matched " << matched << " mutated responses\n";
    EXPECT_GT(matched, 0);
}

// Guards against a malformed engine status that crashes an agent or makes a wrong fingerprint count as verified.
TEST(FuzzRecords, EngineStatus)
{
    AK::Random random(FuzzTest::fuzzSeed());
    const std::string valid =
        nlohmann::json{{"instance", "e1"}, {"generation", 4}, {"state", "ready"}, {"weights_root", digest}, {"load", 2}, {"slots", 8}}.dump();
    const auto original = LibEngine::parseEngineStatus(valid);
    ASSERT_TRUE(original.ok()) << original.status();
    int accepted = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(20'000); ++i) {
        const std::string text = FuzzTest::mutate(valid, random);
        const auto status = LibEngine::parseEngineStatus(text);
        if (!status.ok()) {
            ASSERT_FALSE(status.status().message().empty());
            continue;
        }
        ++accepted;
        ASSERT_GE(status->slots, 0) << testing::PrintToString(text);
        const bool unchanged =
            status->instance == original->instance && status->generation == original->generation && status->root.substr(0, 16) == original->root.substr(0, 16);
        ASSERT_EQ(status->fingerprint() == original->fingerprint(), unchanged) << testing::PrintToString(text);
    }
    std::cout << "accepted " << accepted << " mutated engine statuses\n";
    EXPECT_GT(accepted, 0);
}

// Guards against a malformed response of the object API or host list that crashes a process or is read as an object, version or host that was not sent.
TEST(FuzzRecords, PlatformResponses)
{
    AK::Random random(FuzzTest::fuzzSeed());
    const int pid = ::getpid();
    const AK::Endpoint address{AK::concat("127.", 20 + pid / 250 % 200, ".", pid % 250, ".2"), 7300};
    std::mutex mutex;
    std::string body;
    LibHttp::HttpServer server(address, {}, [&](LibHttp::HttpExchange &exchange) {
        const std::lock_guard lock(mutex);
        exchange.respond(LibHttp::jsonResponse(200, body));
    });
    ASSERT_TRUE(server.start().ok());
    LibObjectStore::HttpObjectStore store(address);
    const std::string object = R"({"version":8,"value":{"a":1}})";
    const std::string list = R"({"objects":[{"name":"a","version":8,"value":{}},{"name":"b","version":9,"value":[]}]})";
    const std::string hosts = R"({"hosts":[{"name":"h1","address":"127.0.0.1","state":"live"},{"name":"h2","address":"127.0.0.2","state":"leaving"}]})";
    constexpr AK::Milliseconds timeoutMs = 10'000;
    int accepted = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(500); ++i) {
        const std::string &valid = i % 3 == 0 ? object : i % 3 == 1 ? list : hosts;
        {
            const std::lock_guard lock(mutex);
            body = FuzzTest::mutate(valid, random);
        }
        const absl::Status status = i % 3 == 0 ? store.get("k", "n", timeoutMs).status()
            : i % 3 == 1                       ? store.list("k", "", timeoutMs).status()
                                               : store.hosts(timeoutMs).status();
        accepted += status.ok() ? 1 : 0;
        ASSERT_TRUE(status.ok() || status.code() == absl::StatusCode::kDataLoss) << status << ": " << testing::PrintToString(body);
        const bool parses = !nlohmann::json::parse(body, nullptr, false).is_discarded();
        ASSERT_TRUE(parses || !status.ok()) << testing::PrintToString(body);
    }
    std::cout << "accepted " << accepted << " mutated responses\n";
    EXPECT_GT(accepted, 0);
}

} // namespace
