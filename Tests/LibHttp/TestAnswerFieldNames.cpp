#include "BothClients.h"
#include <AK/Text.h>
#include <Loopback/AnswerServer.h>
#include <Loopback/InvalidFieldLines.h>
#include <gtest/gtest.h>

namespace
{

using Loopback::InvalidFieldLine;

const std::string body = "hello";

/// Where an invalid line stands in an answer.
enum class Place { First, Last, InterimHead, Trailers };

constexpr std::array placeNames{
    AK::EnumName{Place::First, "first"},
    AK::EnumName{Place::Last, "last"},
    AK::EnumName{Place::InterimHead, "interim_head"},
    AK::EnumName{Place::Trailers, "trailers"},
};

std::string answerWith(const InvalidFieldLine &invalid, Place place)
{
    const std::string line = invalid.line + "\r\n";
    const std::string framing = AK::concat("Content-Length: ", body.size(), "\r\n");
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const bool framed = !invalid.framesBody;
    switch (place) {
    case Place::First:
        return AK::concat(status, line, framed ? framing : "", "X-Last: 1\r\n\r\n", body);
    case Place::Last:
        return AK::concat(status, framed ? framing : "", "X-First: 1\r\n", line, "\r\n", body);
    case Place::InterimHead:
        return AK::concat("HTTP/1.1 103 Early Hints\r\n", line, "\r\n", status, framing, "\r\n", body);
    case Place::Trailers:
        return AK::concat(status, "Transfer-Encoding: chunked\r\n\r\n5\r\n", body, "\r\n0\r\n", line, "\r\n");
    }
    return "";
}

class FieldNameTest : public testing::TestWithParam<std::tuple<Client, Place, InvalidFieldLine>>
{
};

// Guards against an answer of the store, the origin, an engine or an upstream that counts although a field has no valid name.
TEST_P(FieldNameTest, IsNoAnswer)
{
    const auto &[client, place, invalid] = GetParam();
    const AK::Endpoint address = nextAddress();
    Loopback::AnswerServer server(address, {answerWith(invalid, place), 0, Loopback::AnswerEnd::FinishAndRead, 0});
    const absl::StatusOr<std::string> answer = bodyFor(client, address, 0);
    EXPECT_FALSE(answer.ok()) << "taken for an answer: " << *answer;
    EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(Table, FieldNameTest,
                         testing::Combine(testing::Values(Client::Persistent, Client::PerCall),
                                          testing::Values(Place::First, Place::Last, Place::InterimHead, Place::Trailers),
                                          testing::ValuesIn(Loopback::invalidFieldLines(body.size()))),
                         [](const auto &info) {
                             return AK::concat(AK::nameOf(clientNames, std::get<0>(info.param)), "_", AK::nameOf(placeNames, std::get<1>(info.param)), "_",
                                               std::get<2>(info.param).name);
                         });

} // namespace
