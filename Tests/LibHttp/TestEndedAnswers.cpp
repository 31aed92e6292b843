#include "BothClients.h"
#include <AK/Text.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/AnswerServer.h>
#include <gtest/gtest.h>

namespace
{

using LibHttpStream::FramingKind;
using Loopback::AnswerEnd;

constexpr size_t bodyBytes = 20'000;
constexpr size_t longUploadBytes = 4'000'000;
// As a chunk of weights or a record of the store.
constexpr size_t shortUploadBytes = 30'000;

constexpr std::array framingNames{
    AK::EnumName{FramingKind::UntilClose, "unframed"},
    AK::EnumName{FramingKind::Length, "length"},
    AK::EnumName{FramingKind::Chunked, "chunks"},
};

std::string answerText(FramingKind framing, size_t sent)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string body(sent, 'b');
    switch (framing) {
    case FramingKind::Length:
        return AK::concat(head, "Content-Length: ", bodyBytes, "\r\n\r\n", body);
    case FramingKind::Chunked:
        return AK::concat(head, "Transfer-Encoding: chunked\r\n\r\n", sent > 0 ? LibHttpStream::encodeChunk(body) : "",
                          sent == bodyBytes ? LibHttpStream::lastChunk : "");
    case FramingKind::UntilClose:
    case FramingKind::None:
        break;
    }
    return AK::concat(head, "\r\n", body);
}

class TornAnswerTest : public testing::TestWithParam<std::tuple<Client, FramingKind, size_t, size_t, AnswerEnd, AK::Milliseconds>>
{
};

// Guards against an answer to a call of this system's own that its connection has broken off and that is taken for a whole one.
TEST_P(TornAnswerTest, IsNeverWhole)
{
    const auto &[client, framing, uploadBytes, sentBytes, end, endAfter] = GetParam();
    const AK::Endpoint address = nextAddress();
    // A close resets the connection only when bytes of the upload are left.
    const size_t readBytes = end == AnswerEnd::Close || uploadBytes == longUploadBytes ? 0 : uploadBytes;
    Loopback::AnswerServer server(address, {answerText(framing, sentBytes), readBytes, end, endAfter});
    const absl::StatusOr<std::string> body = bodyFor(client, address, uploadBytes);
    EXPECT_FALSE(body.ok()) << "taken for whole with " << body->size() << " bytes";
    EXPECT_EQ(server.requests(), 1) << "a call may change something at its server";
}

INSTANTIATE_TEST_SUITE_P(Table, TornAnswerTest,
                         testing::Combine(testing::Values(Client::Persistent, Client::PerCall),
                                          testing::Values(FramingKind::UntilClose, FramingKind::Length, FramingKind::Chunked),
                                          testing::Values(0, shortUploadBytes, longUploadBytes), testing::Values(0, 1, bodyBytes / 2),
                                          testing::Values(AnswerEnd::Reset), testing::Values(0, 20)),
                         [](const auto &info) {
                             return AK::concat(AK::nameOf(clientNames, std::get<0>(info.param)), "_", AK::nameOf(framingNames, std::get<1>(info.param)),
                                               "_upload_", std::get<2>(info.param), "_sent_", std::get<3>(info.param), "_after_", std::get<5>(info.param));
                         });

INSTANTIATE_TEST_SUITE_P(UnreadUpload, TornAnswerTest,
                         testing::Combine(testing::Values(Client::Persistent, Client::PerCall),
                                          testing::Values(FramingKind::UntilClose, FramingKind::Length, FramingKind::Chunked),
                                          testing::Values(shortUploadBytes, longUploadBytes), testing::Values(0, 1, bodyBytes / 2),
                                          testing::Values(AnswerEnd::Close), testing::Values(0, 20)),
                         [](const auto &info) {
                             return AK::concat(AK::nameOf(clientNames, std::get<0>(info.param)), "_", AK::nameOf(framingNames, std::get<1>(info.param)),
                                               "_upload_", std::get<2>(info.param), "_sent_", std::get<3>(info.param), "_after_", std::get<5>(info.param));
                         });

class SoundAnswerTest : public testing::TestWithParam<std::tuple<Client, FramingKind, size_t, AnswerEnd>>
{
};

// Guards against a sound answer that ends with its connection and is taken for a torn one.
TEST_P(SoundAnswerTest, ArrivesWhole)
{
    const auto &[client, framing, uploadBytes, end] = GetParam();
    const AK::Endpoint address = nextAddress();
    Loopback::AnswerServer server(address, {answerText(framing, bodyBytes), uploadBytes, end, 0});
    const absl::StatusOr<std::string> body = bodyFor(client, address, uploadBytes);
    ASSERT_TRUE(body.ok()) << body.status();
    EXPECT_EQ(body->size(), bodyBytes);
}

INSTANTIATE_TEST_SUITE_P(Table, SoundAnswerTest,
                         testing::Combine(testing::Values(Client::Persistent, Client::PerCall),
                                          testing::Values(FramingKind::UntilClose, FramingKind::Length, FramingKind::Chunked),
                                          testing::Values(0, shortUploadBytes),
                                          testing::Values(AnswerEnd::Close, AnswerEnd::FinishAndRead, AnswerEnd::FinishAndClose)),
                         [](const auto &info) {
                             return AK::concat(AK::nameOf(clientNames, std::get<0>(info.param)), "_", AK::nameOf(framingNames, std::get<1>(info.param)),
                                               "_upload_", std::get<2>(info.param), "_", AK::nameOf(Loopback::answerEndNames, std::get<3>(info.param)));
                         });

} // namespace
