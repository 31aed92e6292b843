#include "BothClients.h"
#include <AK/Text.h>
#include <Loopback/AnswerServer.h>
#include <gtest/gtest.h>

namespace
{

const std::string body = "hello";

struct StatusCase {
    const char *name;
    std::string line;
};

class InvalidStatusTest : public testing::TestWithParam<std::tuple<Client, StatusCase>>
{
};

// Guards against an answer of the store, the origin, an engine or an upstream that counts although its status is none.
TEST_P(InvalidStatusTest, IsNoAnswer)
{
    const auto &[client, status] = GetParam();
    const AK::Endpoint address = nextAddress();
    const std::string text = AK::concat(status.line, "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    Loopback::AnswerServer server(address, {text, 0, Loopback::AnswerEnd::FinishAndRead, 0});
    const absl::StatusOr<std::string> answer = bodyFor(client, address, 0);
    EXPECT_FALSE(answer.ok()) << "taken for an answer: " << *answer;
    EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidStatusTest,
                         testing::Combine(testing::Values(Client::Persistent, Client::PerCall),
                                          testing::Values(StatusCase{"zero", "HTTP/1.1 000 OK"}, StatusCase{"too_low", "HTTP/1.1 099 OK"},
                                                          StatusCase{"too_high", "HTTP/1.1 999 OK"}, StatusCase{"two_digits", "HTTP/1.1 20 OK"},
                                                          StatusCase{"none", "HTTP/1.1"}, StatusCase{"zero_after_a_tab", "HTTP/1.1\t000 200 OK"},
                                                          StatusCase{"zero_in_an_interim_head", "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK"},
                                                          StatusCase{"switching_protocols", "HTTP/1.1 101 Switching Protocols"})),
                         [](const auto &info) { return AK::concat(AK::nameOf(clientNames, std::get<0>(info.param)), "_", std::get<1>(info.param).name); });

} // namespace
