#include <AK/Text.h>
#include <gtest/gtest.h>
#include <platform/CallHeaders.h>

namespace
{

using namespace Platform;

struct PromptPartsCase {
    const char *name;
    std::string header;
    std::vector<std::string> shared;
    std::string last;
};

class PromptPartsTest : public testing::TestWithParam<PromptPartsCase>
{
};

// Guards against a part of a prompt that is taken for another one, and against the last part being taken for a shared one.
TEST_P(PromptPartsTest, AreDecoded)
{
    const auto call = CallHeaders().decodeRequest({"POST", "/a", {{"Host", "h"}, {"X-Prompt-Prefix", GetParam().header}}});
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->sharedPromptParts, GetParam().shared);
    EXPECT_EQ(call->lastPromptPart, GetParam().last);
}

std::string manyParts(size_t count)
{
    std::string header;
    for (size_t i = 0; i < count; ++i) {
        header += "ab:1,";
    }
    return header + "cd:1";
}

INSTANTIATE_TEST_SUITE_P(Table, PromptPartsTest,
                         testing::Values(PromptPartsCase{"three", "5c1e07a2:800,91BD3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}, "e4402b7d"},
                                         PromptPartsCase{"spaces", "5c:8, 91:4, e4:2", {"5c", "91"}, "e4"}, PromptPartsCase{"one", "5c:8", {}, "5c"},
                                         PromptPartsCase{"empty", "", {}, ""}, PromptPartsCase{"without_tokens", "5c,91", {"5c"}, "91"},
                                         PromptPartsCase{"empty_parts", ",,5c:1,,91:2", {"5c"}, "91"},
                                         PromptPartsCase{"long_id", std::string(65, 'a') + ":1,5c:1,91:1", {"5c"}, "91"},
                                         PromptPartsCase{"not_an_id", "../config/main:1,5c:1,91:1", {"5c"}, "91"},
                                         PromptPartsCase{"many", manyParts(40), std::vector<std::string>(40, "ab"), "cd"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct RateLimitCase {
    const char *name;
    std::string header;
    std::optional<double> limit;
};

class RateLimitHeaderTest : public testing::TestWithParam<RateLimitCase>
{
};

// Guards against a limit that is misread, and against one made of text that names none.
TEST_P(RateLimitHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({200, "OK", {{"Server-Limit", GetParam().header}}}).callsPerSecondLimit, GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(Table, RateLimitHeaderTest,
                         testing::Values(RateLimitCase{"decimal", "2.75", 2.75}, RateLimitCase{"whole", "12", 12}, RateLimitCase{"none_taken", "0", 0},
                                         RateLimitCase{"negative", "-1", std::nullopt}, RateLimitCase{"text", "soon", std::nullopt},
                                         RateLimitCase{"unit", "3/s", std::nullopt}, RateLimitCase{"empty", "", std::nullopt},
                                         RateLimitCase{"infinite", "inf", std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LeavingCase {
    const char *name;
    int status;
    LibHttpStream::Headers headers;
    bool leaving;
};

class LeavingHeaderTest : public testing::TestWithParam<LeavingCase>
{
};

// Guards against an upstream whose leaving is overlooked because of the response's status, and against one that is given up because of other text.
TEST_P(LeavingHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({GetParam().status, "", GetParam().headers}).leaving, GetParam().leaving);
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingHeaderTest,
                         testing::Values(LeavingCase{"answer", 200, {{"Server-Leaving", "1"}}, true},
                                         LeavingCase{"refusal", 503, {{"Server-Leaving", "1"}}, true},
                                         LeavingCase{"failure", 500, {{"server-leaving", "1"}}, true}, LeavingCase{"absent", 200, {}, false},
                                         LeavingCase{"zero", 200, {{"Server-Leaving", "0"}}, false},
                                         LeavingCase{"text", 200, {{"Server-Leaving", "soon"}}, false},
                                         LeavingCase{"empty", 200, {{"Server-Leaving", ""}}, false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct PauseCase {
    const char *name;
    int status;
    std::string header;
    std::optional<AK::Milliseconds> pause;
};

class PauseHeaderTest : public testing::TestWithParam<PauseCase>
{
};

// Guards against a pause that is cut short by a lost fraction, and against one made of text or of a number that names none.
TEST_P(PauseHeaderTest, IsDecoded)
{
    EXPECT_EQ(CallHeaders().decodeResponse({GetParam().status, "", {{"Retry-After", GetParam().header}}}).pause, GetParam().pause);
}

INSTANTIATE_TEST_SUITE_P(Table, PauseHeaderTest,
                         testing::Values(PauseCase{"whole", 503, "3", 3'000}, PauseCase{"fraction", 503, "2.75", 2'750},
                                         PauseCase{"rounded_up", 503, "0.0001", 1}, PauseCase{"zero", 503, "0", 0},
                                         PauseCase{"other_status", 429, "3", std::nullopt}, PauseCase{"answer", 200, "3", std::nullopt},
                                         PauseCase{"negative", 503, "-1", std::nullopt}, PauseCase{"text", 503, "soon", std::nullopt},
                                         PauseCase{"date", 503, "Sat, 05 Dec 2026 04:20:00 GMT", std::nullopt}, PauseCase{"unit", 503, "3s", std::nullopt},
                                         PauseCase{"empty", 503, "", std::nullopt}, PauseCase{"infinite", 503, "inf", std::nullopt},
                                         PauseCase{"not_a_number", 503, "nan", std::nullopt}, PauseCase{"overflow", 503, "1e400", std::nullopt},
                                         PauseCase{"overflow_in_ms", 503, "1e17", std::nullopt}, PauseCase{"long", 503, "86400", 86'400'000}),
                         [](const auto &info) { return std::string(info.param.name); });

LibHttpStream::RequestHead clientRequest()
{
    return {"POST",
            "/lepu/2f?q=1",
            {{"Host", "jepu9.example"},
             {"X-Attempt-Id", "9c41"},
             {"X-Deadline-Ms", "6000"},
             {"X-Api-Key", "secret"},
             {"X-Tenant", "forged"},
             {"X-Token-Count", "1460,80"},
             {"X-Length-Hint", "70"},
             {"Last-Event-Id", "12"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"X-Other", "kept"}}};
}

TEST(CallHeaders, DecodesACall)
{
    const auto call = CallHeaders().decodeRequest(clientRequest());
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->id, "9c41");
    EXPECT_EQ(call->host, "jepu9.example");
    EXPECT_EQ(call->path, "/lepu/2f");
    EXPECT_EQ(call->clientTimeout, 6'000);
    EXPECT_EQ(call->key, "secret");
    EXPECT_EQ(call->promptTokens, 1460);
    EXPECT_EQ(call->answerTokenLimit, 80);
    EXPECT_EQ(call->answerTokenHint, 70);
    EXPECT_EQ(call->lastEventId, "12");
}

// Guards against API keys, account names forged by a client and hop-by-hop headers that reach an upstream, and against a wrong request target or deadline.
TEST(CallHeaders, EncodesForOneUpstream)
{
    const CallHeaders codec;
    const auto head = clientRequest();
    const auto sent = codec.encodeRequest(head, {"i-1", "bozi", 4321, 2, 3, std::string("15")});
    EXPECT_EQ(sent.target, "/lepu/2f?q=1");
    const std::map<std::string, std::string> expected{{"Host", "jepu9.example"},   {"X-Attempt-Id", "9c41"},     {"X-Deadline-Ms", "4321"},
                                                      {"X-Tenant", "bozi"},        {"X-Token-Count", "1460,80"}, {"X-Length-Hint", "70"},
                                                      {"Last-Event-Id", "15"},     {"X-Other", "kept"},          {"X-Expect-Instance", "i-1"},
                                                      {"X-Request-Priority", "2"}, {"X-Expect-Version", "3"}};
    std::map<std::string, std::string> found;
    for (const auto &header : sent.headers) {
        EXPECT_TRUE(found.emplace(header.name, header.value).second) << header.name << " twice";
    }
    EXPECT_EQ(found, expected);
}

struct InvalidCallCase {
    const char *name;
    std::string header;
    std::string value;
};

class InvalidCallTest : public testing::TestWithParam<InvalidCallCase>
{
};

TEST_P(InvalidCallTest, IsRejected)
{
    LibHttpStream::RequestHead head = clientRequest();
    for (auto &header : head.headers) {
        header.value = header.name == GetParam().header ? GetParam().value : header.value;
    }
    EXPECT_FALSE(CallHeaders().decodeRequest(head).ok());
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidCallTest,
                         testing::Values(InvalidCallCase{"no_host", "Host", ""}, InvalidCallCase{"deadline_no_number", "X-Deadline-Ms", "soon"},
                                         InvalidCallCase{"deadline_negative", "X-Deadline-Ms", "-5"}),
                         [](const auto &info) { return std::string(info.param.name); });

struct AnswerCase {
    const char *name;
    LibHttpStream::Headers headers;
    bool notRun;
    bool authentic;
    int running;
};

class AnswerTest : public testing::TestWithParam<AnswerCase>
{
};

TEST_P(AnswerTest, IsDecoded)
{
    const auto info = CallHeaders().decodeResponse({503, "", GetParam().headers});
    EXPECT_EQ(info.notRun, GetParam().notRun);
    EXPECT_EQ(info.authentic, GetParam().authentic);
    EXPECT_EQ(info.load ? info.load->running : -1, GetParam().running);
}

INSTANTIATE_TEST_SUITE_P(Table, AnswerTest,
                         testing::Values(AnswerCase{"refused", {{"X-Not-Executed", "1"}}, true, false, -1},
                                         AnswerCase{"ran", {{"X-Server-Seal", "3e1b"}, {"X-Worker-Load", "3,0,8"}}, false, true, 3},
                                         AnswerCase{"broken_load", {{"X-Worker-Load", "3,x"}}, false, false, -1},
                                         AnswerCase{"load_that_overflows", {{"X-Worker-Load", "2147483646,2147483646,8"}}, false, false, -1},
                                         AnswerCase{"negative_load", {{"X-Worker-Load", "3,-1,8"}}, false, false, -1}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LoadCase {
    const char *name;
    std::string header;
    int slots;
    std::optional<double> slowness;
};

class LoadHeaderTest : public testing::TestWithParam<LoadCase>
{
};

// Guards against a load that is lost because of its fourth figure, and against a host that counts as slow because of text.
TEST_P(LoadHeaderTest, IsDecoded)
{
    const auto load = CallHeaders().decodeResponse({200, "", {{"X-Worker-Load", GetParam().header}}}).load;
    EXPECT_EQ(load ? load->slots : -1, GetParam().slots);
    EXPECT_EQ(load ? load->slowness : std::nullopt, GetParam().slowness);
}

INSTANTIATE_TEST_SUITE_P(Table, LoadHeaderTest,
                         testing::Values(LoadCase{"three", "3,0,8", 8, std::nullopt}, LoadCase{"as_usual", "3,0,8,100", 8, 1.0},
                                         LoadCase{"slow", "3,0,8,250", 8, 2.5}, LoadCase{"least", "3,0,8,1", 8, 0.01},
                                         LoadCase{"most", "3,0,8,100000", 8, 1'000.0}, LoadCase{"zero", "3,0,8,0", 8, std::nullopt},
                                         LoadCase{"too_large", "3,0,8,100001", 8, std::nullopt},
                                         LoadCase{"overflow", "3,0,8,99999999999999999999", 8, std::nullopt},
                                         LoadCase{"negative", "3,0,8,-250", 8, std::nullopt}, LoadCase{"text", "3,0,8,slow", 8, std::nullopt},
                                         LoadCase{"fraction", "3,0,8,2.5", 8, std::nullopt}, LoadCase{"empty_fourth", "3,0,8,", 8, std::nullopt},
                                         LoadCase{"broken_third", "3,0,x,250", -1, std::nullopt}, LoadCase{"five", "3,0,8,100,1", -1, std::nullopt},
                                         LoadCase{"two", "3,0", -1, std::nullopt}, LoadCase{"empty", "", -1, std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
