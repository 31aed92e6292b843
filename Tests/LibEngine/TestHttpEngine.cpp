#include <AK/Text.h>
#include <LibEngine/HttpEngine.h>
#include <Tests/Fakes/Engine/FakeEngine.h>
#include <Tests/Fakes/WeightStore/FakeWeightStore.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace
{

AK::Endpoint endpointOf(int host, uint16_t port)
{
    const int pid = getpid();
    return {AK::concat("127.", 140 + pid % 97, ".", pid / 97 % 250 + 1, ".", host), port};
}

class HttpEngineTest : public testing::Test
{
protected:
    void start(Fakes::FakeEngineOptions options)
    {
        options.address = endpointOf(1, 7400);
        this->fake = std::make_unique<Fakes::FakeEngine>(options, this->clock);
        ASSERT_TRUE(this->fake->start().ok());
        ASSERT_TRUE(this->store.start().ok());
    }

    absl::Status load(const std::string &version, uint64_t token)
    {
        const std::string url = AK::concat("http://", endpointOf(2, 7301).text(), "/weights/model/base/", version, "/manifest.json");
        return this->engine.load({token, "model", "base", version, url}, 5000);
    }

    static LibHttp::HttpRequest request(bool stream)
    {
        LibHttp::HttpRequest request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = AK::concat(R"({"prompt":"hello","max_tokens":8,"stream":)", stream ? "true" : "false", "}");
        return request;
    }

    AK::SystemClock clock;
    Fakes::FakeWeightStore store{endpointOf(2, 7301), this->clock, LibWeights::GeneratedWeights{}, {"1", "2"}, 0};
    std::unique_ptr<Fakes::FakeEngine> fake;
    LibEngine::HttpEngine engine{endpointOf(1, 7400)};
};

// Guards against an engine that reports a root which it did not load, and against responses without the fingerprint of the loaded weights.
TEST_F(HttpEngineTest, StatusAndResponsesIdentifyTheWeights)
{
    this->start({});
    ASSERT_TRUE(this->load("1", 1).ok());
    const auto status = this->engine.status(1000);
    ASSERT_TRUE(status.ok()) << status.status();
    EXPECT_EQ(status->root, this->store.rootOf("1"));
    EXPECT_TRUE(status->ready);
    auto completion = this->engine.complete(request(true), true, 1000);
    ASSERT_TRUE(completion.ok()) << completion.status();
    int events = 0;
    bool done = false;
    while (true) {
        const auto line = (*completion)->next(1000);
        ASSERT_TRUE(line.ok()) << line.status();
        if (!*line) {
            break;
        }
        done = **line == "data: [DONE]";
        if ((*line)->starts_with("data: {")) {
            ++events;
            EXPECT_EQ(LibEngine::fingerprintOf(**line), status->fingerprint());
        }
        if (done) {
            break;
        }
    }
    EXPECT_EQ(events, 8);
    EXPECT_TRUE(done);
    auto unstreamed = this->engine.complete(request(false), false, 1000);
    ASSERT_TRUE(unstreamed.ok());
    const auto body = (*unstreamed)->next(1000);
    ASSERT_TRUE(body.ok() && *body);
    EXPECT_EQ(LibEngine::fingerprintOf(**body), status->fingerprint());
    EXPECT_NE((*body)->find(Fakes::expectedTokens("hello", status->root, 8).back()), std::string::npos);
}

// Guards against a call that blocks for the 30 s of the HTTP client, and against a truncated stream that is taken for a complete one.
TEST_F(HttpEngineTest, DeadlineAndTruncationAreErrors)
{
    this->start({});
    ASSERT_TRUE(this->load("1", 1).ok());
    this->fake->setFault(Fakes::EngineFault::Stall);
    auto stalled = this->engine.complete(request(true), true, 1000);
    ASSERT_TRUE(stalled.ok()) << stalled.status();
    EXPECT_EQ((*stalled)->next(50).status().code(), absl::StatusCode::kDeadlineExceeded);
    EXPECT_EQ(this->engine.complete(request(false), false, 50).status().code(), absl::StatusCode::kDeadlineExceeded);
    this->fake->setFault(Fakes::EngineFault::CutStream);
    auto truncated = this->engine.complete(request(true), true, 1000);
    ASSERT_TRUE(truncated.ok());
    absl::Status end;
    bool done = false;
    for (bool more = true; more;) {
        const auto line = (*truncated)->next(5000);
        end = line.status();
        more = line.ok() && line->has_value();
        done = done || (more && **line == "data: [DONE]");
    }
    EXPECT_FALSE(done);
    EXPECT_FALSE(end.ok()) << "a stream without its final chunk ended as if it were complete";
    this->fake->setFault(Fakes::EngineFault::None);
}

// Guards against a fake engine that accepts stale load commands although it honours fencing, or refuses them although it ignores fencing.
TEST_F(HttpEngineTest, StaleCommandIsRefusedUnlessFencingIsIgnored)
{
    for (const bool ignore : {false, true}) {
        Fakes::FakeEngineOptions options;
        options.ignoreFencing = ignore;
        this->fake.reset();
        this->store.stop();
        this->start(options);
        ASSERT_TRUE(this->load("2", 20).ok());
        EXPECT_EQ(this->load("1", 10).ok(), ignore);
        EXPECT_EQ(this->engine.status(1000)->version, ignore ? "1" : "2");
        EXPECT_EQ(this->fake->stats().refusedLoads, ignore ? 0U : 1U);
    }
}

// Guards against a fake engine that accepts any number of calls while it is cold, because tests of the ramp would then always pass.
TEST_F(HttpEngineTest, ColdEngineCountsOverload)
{
    Fakes::FakeEngineOptions options;
    options.coldSlots = 1;
    options.coldMs = 600'000;
    this->start(options);
    ASSERT_TRUE(this->load("1", 1).ok());
    this->fake->setFault(Fakes::EngineFault::Stall);
    auto first = this->engine.complete(request(true), true, 1000);
    ASSERT_TRUE(first.ok());
    auto second = this->engine.complete(request(true), true, 1000);
    ASSERT_TRUE(second.ok());
    EXPECT_EQ((*first)->status(), 200);
    EXPECT_EQ((*second)->status(), 503);
    EXPECT_EQ(this->fake->stats().coldOverload, 1U);
    this->fake->setFault(Fakes::EngineFault::None);
}

// Guards against a malformed status report that is accepted as a state of the engine.
TEST(EngineStatus, RefusesMalformedReports)
{
    for (const char *text : {"", "[]", "{}", R"({"instance":"a","generation":-1.5,"state":"ready","weights_root":"r"})",
                             R"({"instance":1,"generation":1,"state":"ready","weights_root":"r","slots":1})"}) {
        EXPECT_FALSE(LibEngine::parseEngineStatus(text).ok()) << text;
    }
    EXPECT_FALSE(LibEngine::fingerprintOf("data: [DONE]").has_value());
}

} // namespace
