#include <LibOnce/ClaimRecord.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace
{

using LibOnce::OnceRequest;

// Guards against two requests that share a claim because their fields concatenate to the same text.
TEST(ClaimName, DiffersWhenAnyFieldDiffers)
{
    const OnceRequest base{"ab", "c", "POST", "/p", "key", "body"};
    const std::array others{OnceRequest{"a", "bc", "POST", "/p", "key", "body"}, OnceRequest{"ab|1:c", "", "POST", "/p", "key", "body"},
                            OnceRequest{"ab", "c", "PUT", "/p", "key", "body"}, OnceRequest{"ab", "c", "POST", "/pk", "ey", "body"},
                            OnceRequest{"ab", "c", "POST", "/p", "Key", "body"}};
    for (const OnceRequest &other : others) {
        EXPECT_NE(LibOnce::claimName(base), LibOnce::claimName(other));
    }
    const OnceRequest otherBody{"ab", "c", "POST", "/p", "key", "other"};
    EXPECT_EQ(LibOnce::claimName(base), LibOnce::claimName(otherBody));
    EXPECT_NE(LibOnce::claimBodyDigest(base), LibOnce::claimBodyDigest(otherBody));
}

LibOnce::ClaimRecord doneRecord(const std::string &body)
{
    LibOnce::ClaimRecord record;
    record.state = LibOnce::ClaimState::Done;
    record.nonce = "nonce";
    record.bodyDigest = "digest";
    record.recordedResponse = LibOnce::toRecordedResponse({201, {{"content-type", "text/plain"}}, body});
    return record;
}

struct BodyCase {
    const char *name;
    std::string body;
    bool kept;
};

class RecordedBody : public testing::TestWithParam<BodyCase>
{
};

// Guards against a repeated request that gets a different body than the first one, and against claims over the size limit of the object API.
TEST_P(RecordedBody, IsStoredOrMarkedAsNotKept)
{
    const std::string text = LibOnce::serializeClaim(doneRecord(GetParam().body));
    EXPECT_LE(text.size(), LibOnce::maxClaimBytes);
    const auto parsed = LibOnce::parseClaim(text);
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->recordedResponse.response.status, 201);
    EXPECT_EQ(parsed->recordedResponse.bodyKept, GetParam().kept);
    EXPECT_EQ(parsed->recordedResponse.bodyBytes, GetParam().body.size());
    EXPECT_EQ(parsed->recordedResponse.response.body, GetParam().kept ? GetParam().body : "");
}

INSTANTIATE_TEST_SUITE_P(Table, RecordedBody,
                         testing::Values(BodyCase{"empty", "", true}, BodyCase{"text", "confirmed", true},
                                         BodyCase{"binary", std::string("\xff\x00\x80", 3), true},
                                         BodyCase{"largest", std::string(LibOnce::recordedBodyLimitBytes, 'a'), true},
                                         BodyCase{"too large", std::string(LibOnce::recordedBodyLimitBytes + 1, 'a'), false},
                                         BodyCase{"escapes", std::string(LibOnce::recordedBodyLimitBytes, '\x01'), false}));

struct FieldCase {
    const char *path;
    nlohmann::json value;
};

class MalformedClaim : public testing::TestWithParam<FieldCase>
{
};

// Guards against a malformed claim that is accepted as valid, and against errors without the path of the field.
TEST_P(MalformedClaim, IsRejectedWithThePath)
{
    nlohmann::json json = nlohmann::json::parse(LibOnce::serializeClaim(doneRecord("body")));
    json[nlohmann::json::json_pointer(GetParam().path)] = GetParam().value;
    const auto parsed = LibOnce::parseClaim(json.dump());
    ASSERT_FALSE(parsed.ok());
    EXPECT_NE(std::string(parsed.status().message()).find(GetParam().path), std::string::npos) << parsed.status();
}

INSTANTIATE_TEST_SUITE_P(Table, MalformedClaim,
                         testing::Values(FieldCase{"/format", 2}, FieldCase{"/state", "running"}, FieldCase{"/nonce", ""}, FieldCase{"/nonce", 5},
                                         FieldCase{"/nonce", std::string(65, 'a')}, FieldCase{"/expires_at_ms", -1},
                                         FieldCase{"/claimed_at_ms", uint64_t{1} << 63}, FieldCase{"/answer", nullptr}, FieldCase{"/answer/status", 99},
                                         FieldCase{"/answer/body_kept", 1}, FieldCase{"/answer/body", "shorter or longer"}, FieldCase{"/answer/body_hex", "zz"},
                                         FieldCase{"/answer/headers", "none"}));

} // namespace
