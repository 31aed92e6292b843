#include "Site.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace
{

using TestSite::Site;

const std::string streamBody = R"({"model":"svc","prompt":"p","stream":true})";

std::string chunk(const std::string &text, const std::string &systemFingerprint = TestSite::fingerprint)
{
    return AK::concat("data: ", nlohmann::json{{"text", text}, {"system_fingerprint", systemFingerprint}}.dump(), "\n\n");
}

std::string promptOf(const LibHttp::HttpExchange &exchange)
{
    return nlohmann::json::parse(exchange.request().body).value("prompt", "");
}

void respondWithCompletion(LibHttp::HttpExchange &exchange)
{
    exchange.respond(
        LibHttp::jsonResponse(200, nlohmann::json{{"text", "answer to " + promptOf(exchange)}, {"system_fingerprint", TestSite::fingerprint}}.dump()));
}

std::string outcomeOf(const LibHttp::HttpResponse &response)
{
    return std::string(LibHttp::headerOr(response.headers, "x-catkinlink-outcome"));
}

std::string reasonOf(const LibHttp::HttpResponse &response)
{
    return nlohmann::json::parse(response.body).at("error").at("reason").get<std::string>();
}

struct StreamCase {
    const char *name;
    std::vector<std::string> parts;
    /// The upstream ends the body properly.
    bool ended;
    bool callerSeesEnd;
    bool verifiedAfter;
};

class StreamTest : public testing::TestWithParam<StreamCase>
{
};

// Guards against a truncated response, or one that mixes weights, that looks complete to the caller.
TEST_P(StreamTest, OnlyCompleteResponsesOfTheVerifiedWeightsGetAnEnd)
{
    const StreamCase &test = GetParam();
    Site site(
        LibSettings::UpstreamKind::Engine,
        [&test](LibHttp::HttpExchange &exchange) {
            exchange.beginStream(200, {{"content-type", "text/event-stream"}});
            for (const auto &part : test.parts) {
                exchange.writeChunk(part);
            }
            if (test.ended) {
                exchange.endStream();
            }
        },
        2);
    const auto stream = site.openStream(streamBody);
    ASSERT_NE(stream, nullptr);
    std::string body;
    bool cut = false;
    while (true) {
        const auto line = stream->readLine();
        if (!line.ok() || !line->has_value()) {
            cut = !line.ok();
            break;
        }
        body += **line + "\n";
    }
    EXPECT_EQ(body.find("[DONE]") != std::string::npos, test.callerSeesEnd) << body;
    EXPECT_EQ(body.find("other weights"), std::string::npos) << body;
    EXPECT_EQ(body.find("\"error\"") == std::string::npos, test.callerSeesEnd) << body;
    EXPECT_EQ(cut || stream->status() != 200, !test.callerSeesEnd);
    EXPECT_EQ(site.engine.verified(site.clock.now(), 600'000).has_value(), test.verifiedAfter);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StreamTest,
    testing::Values(StreamCase{"whole", {chunk("a"), chunk("b"), "data: [DONE]\n\n"}, true, true, true},
                    StreamCase{"fingerprint_changes", {chunk("a"), chunk("other weights", "engine-2-x"), "data: [DONE]\n\n"}, true, false, false},
                    StreamCase{"fingerprint_missing", {chunk("a"), "data: {\"text\":\"other weights\"}\n\n", "data: [DONE]\n\n"}, true, false, false},
                    StreamCase{"first_chunk_wrong", {chunk("other weights", "engine-2-x"), "data: [DONE]\n\n"}, true, false, false},
                    StreamCase{"cut_by_upstream", {chunk("a"), chunk("b")}, false, false, true},
                    StreamCase{"ended_without_marker", {chunk("a")}, true, false, true},
                    StreamCase{"marker_without_data", {"data: [DONE]\n\n"}, true, false, true},
                    StreamCase{"error_in_stream", {chunk("a"), "data: {\"error\":{}}\n\n", "data: [DONE]\n\n"}, true, false, true}),
    [](const auto &info) { return info.param.name; });

struct RefusalCase {
    const char *name;
    std::function<void(Site &)> prepare;
    std::string reason;
};

class RefusalTest : public testing::TestWithParam<RefusalCase>
{
};

// Guards against calls to an upstream that is out of service or whose weights are not verified, and against the outcome "not_run" for a call that was sent.
TEST_P(RefusalTest, NothingIsSentToTheUpstream)
{
    std::atomic<int> received{0};
    Site site(
        LibSettings::UpstreamKind::Engine,
        [&received](LibHttp::HttpExchange &exchange) {
            ++received;
            respondWithCompletion(exchange);
        },
        2);
    GetParam().prepare(site);
    const auto response = site.post("/v1/completions", R"({"model":"svc","prompt":"p"})");
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(outcomeOf(*response), "not_run");
    EXPECT_EQ(reasonOf(*response), GetParam().reason);
    EXPECT_FALSE(LibHttp::headerOr(response->headers, "retry-after").empty());
    EXPECT_EQ(received, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusalTest,
                         testing::Values(RefusalCase{"domain_out",
                                                     [](Site &site) {
                                                         site.configuration.site.failureDomains["lima"].inService = false;
                                                         site.configurationView.set(site.configuration);
                                                     },
                                                     "no_upstream"},
                                         RefusalCase{"engine_not_verified", [](Site &site) { site.engine.markUnverified(); }, "not_verified"},
                                         RefusalCase{"status_too_old",
                                                     [](Site &site) {
                                                         site.engine.confirm({TestSite::root, TestSite::fingerprint, 0, site.clock.now() - 700'000});
                                                     },
                                                     "not_verified"},
                                         RefusalCase{"other_weights",
                                                     [](Site &site) {
                                                         site.engine.confirm({"other", "engine-2-other", 0, site.clock.now()});
                                                     },
                                                     "wrong_weights"},
                                         RefusalCase{"closed_for_switch", [](Site &site) { site.callService->closeForSwitch(); }, "not_verified"},
                                         RefusalCase{"draining", [](Site &site) { site.callService->drain(); }, "draining"}),
                         [](const auto &info) { return info.param.name; });

// Guards against more concurrent calls at the engine than it has slots when many callers start at once, and against a response that reaches the wrong caller.
TEST(EngineCalls, ManyCallersGetTheirOwnResponsesWithinTheSlots)
{
    std::atomic<int> running{0};
    std::atomic<int> peak{0};
    Site site(
        LibSettings::UpstreamKind::Engine,
        [&](LibHttp::HttpExchange &exchange) {
            const int now = ++running;
            for (int seen = peak; now > seen && !peak.compare_exchange_weak(seen, now);) {}
            // Long enough for further calls to arrive meanwhile; the result doesn't depend on the exact time.
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            --running;
            respondWithCompletion(exchange);
        },
        3, 2);
    std::atomic<int> correctResponses{0};
    std::vector<std::thread> callers;
    callers.reserve(40);
    for (int caller = 0; caller < 40; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 5; ++i) {
                const std::string prompt = AK::concat("prompt ", caller, "/", i);
                const auto response = site.post("/v1/completions", nlohmann::json{{"model", "svc"}, {"prompt", prompt}}.dump(), {}, caller % 2);
                const bool own = response.ok() && response->status == 200 && nlohmann::json::parse(response->body)["text"] == "answer to " + prompt;
                correctResponses += own && outcomeOf(*response) == "done" && LibHttp::headerOr(response->headers, "x-catkinlink-version") == "2" ? 1 : 0;
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(correctResponses, 200);
    EXPECT_LE(peak, 3);
    EXPECT_EQ(site.callService->callsInFlight(), 0);
}

// Guards against a slot that is granted to another call while the engine still works on a call whose deadline has passed.
TEST(EngineCalls, DeadlineHoldsAndTheSlotStaysTakenUntilTheUpstreamIsClosed)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool release = false;
    Site site(
        LibSettings::UpstreamKind::Engine,
        [&](LibHttp::HttpExchange &exchange) {
            exchange.beginStream(200, {});
            std::unique_lock lock(mutex);
            changed.wait(lock, [&] { return release; });
        },
        1);
    const auto response = site.post("/v1/completions", R"({"model":"svc","prompt":"p"})", {{"x-deadline-ms", "200"}});
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 504);
    EXPECT_EQ(outcomeOf(*response), "unknown");
    EXPECT_EQ(site.callService->callsInFlight(), 1);
    EXPECT_FALSE(site.callService->waitDrained(0));
    {
        const std::lock_guard lock(mutex);
        release = true;
        changed.notify_all();
    }
    EXPECT_TRUE(site.callService->waitDrained(20'000));
}

struct RequestCase {
    const char *name;
    std::string path;
    std::string body;
    LibHttp::HttpHeaders headers;
    int status;
};

class RequestTest : public testing::TestWithParam<RequestCase>
{
};

// Guards against calls without a client account, to unknown services, or with an invalid deadline.
TEST_P(RequestTest, BadRequestsDoNotRun)
{
    Site site(LibSettings::UpstreamKind::Engine, respondWithCompletion, 1);
    const auto response = site.post(GetParam().path, GetParam().body, GetParam().headers);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, GetParam().status);
    EXPECT_EQ(outcomeOf(*response), "not_run");
    EXPECT_FALSE(LibHttp::headerOr(response->headers, "x-request-id").empty());
}

INSTANTIATE_TEST_SUITE_P(Table, RequestTest,
                         testing::Values(RequestCase{"wrong_key", "/v1/completions", R"({"model":"svc"})", {{"authorization", "Bearer no"}}, 401},
                                         RequestCase{"no_model", "/v1/completions", "{}", {}, 400},
                                         RequestCase{"not_json", "/v1/chat/completions", "x", {}, 400},
                                         RequestCase{"unknown_service", "/v1/completions", R"({"model":"none"})", {}, 404},
                                         RequestCase{"engine_as_plain", "/services/svc/stock", "{}", {}, 404},
                                         RequestCase{"bad_deadline", "/v1/completions", R"({"model":"svc"})", {{"x-deadline-ms", "0"}}, 400}),
                         [](const auto &info) { return info.param.name; });

} // namespace
