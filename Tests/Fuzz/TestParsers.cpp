#include "Mutation.h"

#include <AK/Endpoint.h>
#include <LibSettings/ConfigurationCheck.h>
#include <LibSettings/JsonFile.h>
#include <LibSettings/ProcessSettings.h>
#include <LibSettings/Revision.h>
#include <LibSettings/SiteDocument.h>
#include <LibWire/KeyRing.h>
#include <functional>
#include <gtest/gtest.h>

namespace
{

const std::string digest(64, 'a');

nlohmann::json siteDocument()
{
    const nlohmann::json weights{{"model", "m"}, {"adapter", "a"}, {"version", "1"}, {"root", digest}};
    const nlohmann::json routes = nlohmann::json::array({{{"method", "POST"}, {"path", "/p"}, {"repeatable", false}}});
    return {{"site", "mechelen"},
            {"failure_domains", {{"brabant", {{"region", "south"}, {"in_service", false}}}}},
            {"accounts", {{"counter", {{"key_sha256", digest}, {"weight", 3}, {"priority", 1}}}}},
            {"services",
             {{"assistant", {{"kind", "engine"}, {"target", weights}, {"previous", weights}, {"rollout", {{"wave_share", 0.5}, {"paused", true}}}}},
              {"portal", {{"kind", "plain"}, {"routes", routes}}}}},
            {"upstreams", {{"host-1", {{"service", "portal"}, {"failure_domain", "brabant"}}}}},
            {"settled_restrictions", {"r1"}}};
}

nlohmann::json processSettings()
{
    return {{"role", "agent"},
            {"name", "bench-1"},
            {"site", "mechelen"},
            {"region", "south"},
            {"failure_domain", "brabant"},
            {"http_address", "127.0.0.1:7100"},
            {"rpc_address", "127.0.0.1:7200"},
            {"object_api", "127.0.0.1:7300"},
            {"seeds", {"127.0.0.2:7200"}},
            {"keys", {{{"id", "k1"}, {"secret", "0123456789abcdef"}}}},
            {"operators", {{{"name", "ana"}, {"key_sha256", digest}}}},
            {"timing", {{"gossip_interval_ms", 100}, {"rpc_timeout_ms", 500}}},
            {"agent", {{"upstream_address", "127.0.0.1:7400"}, {"upstream_kind", "engine"}, {"service", "assistant"}, {"weight_store", "127.0.0.9:7301"}}}};
}

/// Parses the text. Returns whether it is accepted; an accepted text must also pass the checks of the test, such as a round trip.
using Check = std::function<bool(const std::string &text)>;

// Runs the check on mutated inputs; each must be accepted or rejected with an error. The valid input must be accepted, so that the test cannot pass with a
// parser that rejects everything.
void runCheck(const std::string &valid, int count, const Check &check)
{
    AK::Random random(FuzzTest::fuzzSeed());
    ASSERT_TRUE(check(valid)) << "the valid input is rejected: " << valid;
    int accepted = 0;
    for (int i = 0; i < FuzzTest::fuzzCount(count); ++i) {
        const std::string text = FuzzTest::mutate(valid, random);
        accepted += check(text) ? 1 : 0;
        if (testing::Test::HasFailure()) {
            FAIL() << "input " << i << ": " << testing::PrintToString(text);
        }
    }
    std::cout << "accepted " << accepted << " of " << FuzzTest::fuzzCount(count) << " mutated inputs\n";
}

// Guards against a settings file that crashes a process, and against accepted JSON that cannot be serialized, for example because of invalid UTF-8.
TEST(Fuzz, JsonFiles)
{
    runCheck(siteDocument().dump(1), 3'000, [](const std::string &text) {
        const auto json = LibSettings::parseJson(text, "input");
        if (!json.ok()) {
            EXPECT_FALSE(json.status().message().empty());
            return false;
        }
        const auto reparsed = LibSettings::parseJson(json->dump(), "again");
        EXPECT_TRUE(reparsed.ok()) << reparsed.status();
        EXPECT_TRUE(reparsed.ok() && *reparsed == *json);
        return true;
    });
}

// Guards against a document that passes validation but is rejected or read differently by the process that receives it, and against a check that reports no
// error for a document that is rejected.
TEST(Fuzz, SiteDocuments)
{
    runCheck(siteDocument().dump(), 1'500, [](const std::string &text) {
        const auto json = LibSettings::parseJson(text, "input");
        const auto document = json.ok() ? LibSettings::parseSiteDocument(*json) : json.status();
        const auto findings = json.ok() ? LibSettings::checkConfiguration(*json) : std::vector<LibSettings::Finding>();
        EXPECT_EQ(!findings.empty() && findings[0].severity == LibSettings::FindingSeverity::Error, json.ok() && !document.ok());
        if (!document.ok()) {
            EXPECT_EQ(document.status().code(), absl::StatusCode::kInvalidArgument);
            return false;
        }
        const auto reparsed = LibSettings::parseSiteDocument(*LibSettings::parseJson(json->dump(), "again"));
        EXPECT_TRUE(reparsed.ok()) << reparsed.status();
        EXPECT_TRUE(reparsed.ok() && reparsed->services.size() == document->services.size() && reparsed->upstreams.size() == document->upstreams.size());
        const auto merged = LibSettings::mergeOverlay(*json, nlohmann::json::object());
        EXPECT_TRUE(merged.ok() && *merged == *json);
        return true;
    });
}

// Guards against settings that end a process without an error message.
TEST(Fuzz, ProcessSettings)
{
    runCheck(processSettings().dump(), 1'500, [](const std::string &text) {
        const auto json = LibSettings::parseJson(text, "input");
        const auto settings = json.ok() ? LibSettings::parseProcessSettings(*json) : json.status();
        if (!settings.ok()) {
            EXPECT_EQ(settings.status().code(), absl::StatusCode::kInvalidArgument);
            return false;
        }
        EXPECT_EQ(settings->rpcAddress.text(), (*json)["rpc_address"]);
        EXPECT_EQ(settings->name, (*json)["name"]);
        EXPECT_EQ(settings->keys.size(), (*json)["keys"].size());
        return true;
    });
}

// Guards against an altered revision from a peer or the store taking effect.
TEST(Fuzz, Revisions)
{
    const LibSettings::Revision original{7, "change", LibSettings::documentDigest(siteDocument()), siteDocument()};
    runCheck(LibSettings::serializeRevision(original), 3'000, [&](const std::string &text) {
        const auto revision = LibSettings::parseRevision(text);
        if (!revision.ok()) {
            return false;
        }
        EXPECT_EQ(revision->document, original.document);
        const auto reparsed = LibSettings::parseRevision(LibSettings::serializeRevision(*revision));
        EXPECT_TRUE(reparsed.ok()) << reparsed.status();
        EXPECT_TRUE(reparsed.ok() && reparsed->number == revision->number && reparsed->changeId == revision->changeId && reparsed->audit == revision->audit);
        return true;
    });
}

// Guards against an address that is accepted but parsed as a different one.
TEST(Fuzz, Endpoints)
{
    runCheck("127.0.12.1:7100", 20'000, [](const std::string &text) {
        const auto endpoint = AK::parseEndpoint(text);
        if (!endpoint.ok()) {
            return false;
        }
        const auto reparsed = AK::parseEndpoint(endpoint->text());
        EXPECT_TRUE(reparsed.ok() && *reparsed == *endpoint) << endpoint->text();
        return true;
    });
}

class FixedClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return 1'000'000;
    }
    AK::Milliseconds wallTime() const override
    {
        return 1'000'000;
    }
    void sleep(AK::Milliseconds /*duration*/) const override
    {
    }
};

// Guards against a login that is accepted although a field was altered after signing.
TEST(Fuzz, LoginProofs)
{
    AK::Random random(FuzzTest::fuzzSeed());
    const FixedClock clock;
    const AK::Endpoint self{"127.0.0.1", 7200};
    LibWire::KeyRing ring({{"k1", "0123456789abcdef"}}, clock);
    for (int i = 0; i < FuzzTest::fuzzCount(5'000); ++i) {
        const LibWire::LoginProof proof = ring.sign("entry-1", self);
        LibWire::LoginProof altered = proof;
        std::string *const texts[] = {&altered.keyId, &altered.process, &altered.nonce, &altered.mac};
        const uint64_t field = AK::uniformBelow(random, 5);
        if (field == 4) {
            altered.timeMs += 1 + AK::uniformBelow(random, 1'000);
        } else {
            *texts[field] = FuzzTest::mutate(*texts[field], random);
        }
        const bool unchanged = altered.keyId == proof.keyId && altered.process == proof.process && altered.timeMs == proof.timeMs
            && altered.nonce == proof.nonce && altered.mac == proof.mac;
        ASSERT_EQ(ring.verify(altered, self).ok(), unchanged) << "login " << i << ", field " << field;
        ASSERT_EQ(ring.verify(proof, self).ok(), !unchanged) << "login " << i;
    }
}

} // namespace
