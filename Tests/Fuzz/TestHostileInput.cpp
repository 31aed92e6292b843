#include "HostileText.h"
#include "Mutation.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <LibEngine/Engine.h>
#include <LibFiber/Loop.h>
#include <LibOnce/ClaimRecord.h>
#include <LibSettings/JsonFile.h>
#include <LibSettings/ProcessSettings.h>
#include <LibSettings/Revision.h>
#include <LibSettings/SiteDocument.h>
#include <LibWeights/Manifest.h>
#include <Services/Agent/ResponseCheck.h>
#include <Services/Entry/CallParser.h>
#include <Services/Operator/OperatorJson.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <platform/EngineClient.h>
#include <platform/ObjectCodec.h>

namespace
{

/// A parser of the product and an input that it accepts.
struct Parser {
    const char *name;
    nlohmann::json valid;
    std::function<bool(LibFiber::Loop &loop, const std::string &text)> accepts;
};

const std::string digest(64, 'b');

bool acceptsRestriction(LibFiber::Loop &, const std::string &text)
{
    LibSettings::SiteDocument document;
    document.failureDomains["brabant"] = {};
    return Operator::parseRestriction(text, "ana", document, 1'000).ok();
}

bool acceptsCall(LibFiber::Loop &, const std::string &text)
{
    auto configuration = std::make_shared<LibConfiguration::Configuration>();
    configuration->site.accounts["counter"].keySha256 = AK::sha256Hex("key");
    configuration->site.services["m"] = {};
    const LibHttp::HttpRequest request{.method = "POST", .path = "/v1/completions", .headers = {{"authorization", "Bearer key"}}, .body = text};
    return std::holds_alternative<Entry::EntryCall>(Entry::parseCall(request, "r1", configuration, 1'000, 1'000));
}

bool acceptsOriginManifest(LibFiber::Loop &loop, const std::string &text)
{
    return Platform::OriginClient(loop).parseManifest(text).ok();
}

std::vector<Parser> parsers()
{
    return {
        {"json_file",
         {{"site", "mechelen"}},
         [](LibFiber::Loop &, const std::string &text) {
             return LibSettings::parseJson(text, "input").ok();
         }},
        {"engine_status",
         {{"instance", "e1"}, {"generation", 4}, {"state", "ready"}, {"weights_root", digest}, {"load", 2}, {"slots", 8}},
         [](LibFiber::Loop &, const std::string &text) {
             return LibEngine::parseEngineStatus(text).ok();
         }},
        {"fingerprint",
         {{"system_fingerprint", "e1-4"}},
         [](LibFiber::Loop &, const std::string &text) {
             return LibEngine::fingerprintOf(text).has_value();
         }},
        {"engine_response",
         {{"system_fingerprint", "e1-4"}, {"choices", {{{"text", "resin"}}}}},
         [](LibFiber::Loop &, const std::string &text) {
             return Agent::checkResponse(text, "e1-4") == Agent::ResponseMatch::Match;
         }},
        {"claim",
         {{"format", 1},
          {"state", "claimed"},
          {"nonce", std::string(32, 'c')},
          {"body_sha256", digest},
          {"owner", "entry-1"},
          {"claimed_at_ms", 1'000},
          {"expires_at_ms", 2'000}},
         [](LibFiber::Loop &, const std::string &text) {
             return LibOnce::parseClaim(text).ok();
         }},
        {"manifest",
         {{"model", "m"}, {"adapter", "a"}, {"version", "1"}, {"chunk_bytes", 65'536}, {"files", {{{"name", "one"}, {"bytes", 10}, {"chunks", {digest}}}}}},
         [](LibFiber::Loop &, const std::string &text) {
             return LibWeights::parseManifest(text).ok();
         }},
        {"apply_request",
         {{"document", nlohmann::json::object()}, {"expected_revision", 1}, {"change_id", "c1"}, {"reason", "test"}},
         [](LibFiber::Loop &, const std::string &text) {
             return Operator::parseApplyRequest(text, "ana").ok();
         }},
        {"restriction", {{"failure_domain", "brabant"}, {"reason", "test"}, {"ttl_ms", 1'000}}, acceptsRestriction},
        {"call", {{"model", "m"}, {"stream", true}, {"messages", nlohmann::json::array()}}, acceptsCall},
        {"origin_manifest", {{"version", 2}, {"chunkBytes", 32'768}, {"digests", {digest}}}, acceptsOriginManifest},
        {"configuration",
         {{"version", 7}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}, {"limits", nlohmann::json::object()}},
         [](LibFiber::Loop &, const std::string &text) {
             return Platform::decodeConfiguration(text).ok();
         }},
        {"registration",
         {{"service", "s"},
          {"addr", "10.1.0.2:80"},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 16},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"seq", 3},
          {"models", nlohmann::json::array()},
          {"layers", nullptr}},
         [](LibFiber::Loop &, const std::string &text) {
             return Platform::decodeUpstream("i-1", text, 16, 1'000).ok();
         }},
    };
}

class HostileInputTest : public testing::TestWithParam<Parser>
{
};

// Guards against a field that ends the process which reads it, on the stack of a fiber as in the services, and against one that is read as another value.
TEST_P(HostileInputTest, IsRejectedOnAFiber)
{
    const std::string valid = GetParam().valid.dump();
    LibFiber::Loop loop;
    bool validAccepted = false;
    std::vector<std::string> wronglyAccepted;
    loop.fiber([&](kj::WaitScope &) {
            validAccepted = GetParam().accepts(loop, valid);
            for (const FuzzTest::HostileValue &value : FuzzTest::hostileValues()) {
                std::vector<std::string> fields{"unknown_field"};
                for (const auto &[name, unused] : GetParam().valid.items()) {
                    fields.push_back(name);
                }
                for (const std::string &field : fields) {
                    nlohmann::json object = GetParam().valid;
                    object[field] = "@";
                    std::string text = object.dump();
                    text.replace(text.find("\"@\""), 3, value.text);
                    if (GetParam().accepts(loop, text) && value.alwaysRejected) {
                        wronglyAccepted.push_back(AK::concat(field, "=", value.name));
                    }
                }
                // In place of the whole object.
                if (value.alwaysRejected && GetParam().accepts(loop, value.text)) {
                    wronglyAccepted.emplace_back(value.name);
                }
            }
        })
        .wait(loop.rootScope());
    EXPECT_TRUE(validAccepted) << valid;
    EXPECT_EQ(wronglyAccepted, std::vector<std::string>());
}

// Guards against an input that was once read wrongly. A file is named after its parser and says whether the parser accepts it; valid ones are also mutated,
// with hostile values among the edits.
TEST_P(HostileInputTest, CorpusIsReadAsBefore)
{
    LibFiber::Loop loop;
    AK::Random random(FuzzTest::fuzzSeed());
    int files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(FUZZ_CORPUS)) {
        const std::string name = entry.path().filename().string();
        if (!name.starts_with(std::string(GetParam().name) + ".")) {
            continue;
        }
        ++files;
        std::ifstream file(entry.path(), std::ios::binary);
        const std::string text((std::istreambuf_iterator<char>(file)), {});
        const bool valid = name.find(".valid.") != std::string::npos;
        loop.fiber([&](kj::WaitScope &) {
                EXPECT_EQ(GetParam().accepts(loop, text), valid) << name;
                for (int i = 0; i < FuzzTest::fuzzCount(300); ++i) {
                    (void)GetParam().accepts(loop, FuzzTest::mutateHostile(text, random));
                }
            })
            .wait(loop.rootScope());
    }
    EXPECT_GE(files, 1);
}

INSTANTIATE_TEST_SUITE_P(Table, HostileInputTest, testing::ValuesIn(parsers()), [](const auto &info) { return std::string(info.param.name); });

} // namespace
