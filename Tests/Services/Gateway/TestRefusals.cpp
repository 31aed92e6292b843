#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;

/// Stands for the id of the request in a response.
const std::string ownId = "X-Attempt-Id: $ID\r\n";
const std::string otherId = "X-Attempt-Id: earlier\r\n";
const std::string notRun = "X-Not-Executed: 1\r\n";
const std::string sealed = "X-Server-Seal: seal\r\n";

std::string response(std::string_view status, const std::string &headers, const std::string &body = "")
{
    return AK::concat("HTTP/1.1 ", status, "\r\n", headers, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

const std::string sound = response("200 OK", ownId + sealed, "ran");
const std::string ownRefusal = response("503 Service Unavailable", ownId + notRun);
const std::string otherRefusal = response("503 Service Unavailable", otherId + notRun);
const std::string cutAnswer = "HTTP/1.1 200 OK\r\n" + ownId + sealed + "Content-Length: 3\r\n\r\nr";

/// Writes the given bytes for the first request, the next for the second, and so on, and closes the connection after each but sound responses; the last one
/// stands for all further requests.
UpstreamScript scriptFor(const std::vector<std::string> &responses, size_t &requests, LibFiber::Loop *const &loop)
{
    return [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        std::string text = responses[std::min(requests, responses.size() - 1)];
        const bool cut = text == cutAnswer;
        ++requests;
        for (size_t at = text.find("$ID"); at != std::string::npos; at = text.find("$ID")) {
            text.replace(at, 3, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"));
        }
        EXPECT_TRUE(channel.write(scope, text, loop->clock().now() + callTimeout).ok());
        return !cut;
    };
}

struct RefusalCase {
    const char *name;
    RouteKind kind;
    /// What the upstreams write to the first request and to the next one.
    std::vector<std::string> responses;
    int status;
    /// Requests that reached an upstream.
    size_t requests;
};

class RefusalTest : public testing::TestWithParam<RefusalCase>
{
};

// Guards against a refusal that may mean another request, after which the caller is told "not run, try again" or the request is sent to a second upstream,
// although it has run or is running. 503 promises that; 502 and 504 promise nothing.
TEST_P(RefusalTest, CountsOnlyIfItIsProven)
{
    const RefusalCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    // The first upstream is chosen at random, so both behave alike.
    const UpstreamScript script = scriptFor(row.responses, requests, loop);
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(row.kind, false, 2, 700);
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, row.status);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body == "ran", row.status == 200) << response.body;
    EXPECT_EQ(requests, row.requests);
}

constexpr RouteKind once = RouteKind::AtMostOnce;
constexpr RouteKind idempotent = RouteKind::Idempotent;

INSTANTIATE_TEST_SUITE_P(
    Table, RefusalTest,
    testing::Values(RefusalCase{"proven", once, {ownRefusal, sound}, 200, 2}, RefusalCase{"proven_twice", once, {ownRefusal, ownRefusal}, 503, 2},
                    RefusalCase{"proven_by_421", once, {response("421 Misdirected Request", ownId), sound}, 200, 2},
                    RefusalCase{"after_an_informational_response", once, {"HTTP/1.1 100 Continue\r\n\r\n" + ownRefusal, sound}, 200, 2},
                    RefusalCase{"written_twice", once, {ownRefusal + ownRefusal, sound}, 200, 2},
                    RefusalCase{"without_an_id", once, {response("503 Service Unavailable", notRun), sound}, 502, 1},
                    RefusalCase{"too_many_without_an_id", once, {response("429 Too Many Requests", notRun), sound}, 502, 1},
                    RefusalCase{"misdirected_without_an_id", once, {response("421 Misdirected Request", ""), sound}, 502, 1},
                    RefusalCase{"of_another_request_before_the_answer", once, {otherRefusal + sound, sound}, 200, 1},
                    RefusalCase{"of_another_request_alone", once, {otherRefusal, sound}, 504, 1},
                    RefusalCase{"misdirected_another_request_before_the_answer", once, {response("421 Misdirected Request", otherId) + sound, sound}, 200, 1},
                    RefusalCase{"followed_by_the_answer", once, {ownRefusal + sound, sound}, 502, 1},
                    RefusalCase{"followed_by_bytes", once, {ownRefusal + "ran", sound}, 502, 1},
                    RefusalCase{"followed_by_another_refusal", once, {ownRefusal + otherRefusal, sound}, 200, 2},
                    RefusalCase{"stated_in_a_success", once, {response("200 OK", ownId + notRun + sealed, "no"), sound}, 502, 1},
                    RefusalCase{"unavailable_without_a_statement", once, {response("503 Service Unavailable", ownId + sealed), sound}, 502, 1},
                    RefusalCase{"too_many_without_a_statement", once, {response("429 Too Many Requests", ownId + sealed), sound}, 502, 1},
                    RefusalCase{"timeout_without_a_statement", once, {response("408 Request Timeout", ownId + sealed), sound}, 502, 1},
                    RefusalCase{"after_a_part_of_an_answer", idempotent, {cutAnswer, ownRefusal}, 502, 2},
                    RefusalCase{"without_an_id_may_be_repeated", idempotent, {response("503 Service Unavailable", notRun), sound}, 200, 2}),
    [](const auto &info) { return std::string(info.param.name); });

struct ConnectionCase {
    const char *name;
    RouteKind kind;
    std::vector<std::string> responses;
    /// What the clients of two calls, one after the other, get.
    std::vector<int> statuses;
    int connections;
};

class RefusalConnectionTest : public testing::TestWithParam<ConnectionCase>
{
};

// Guards against a refusal that was written for an earlier request on a connection and is read by a later one: no connection is used again after a refusal, and
// a request that may run once gets a connection of its own.
TEST_P(RefusalConnectionTest, StaysWithItsConnection)
{
    const ConnectionCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    GatewaySite site({scriptFor(row.responses, requests, loop)});
    loop = &site.loop;
    site.configure(row.kind, false, 1, 700);
    std::vector<int> statuses;
    for (size_t i = 0; i < row.statuses.size(); ++i) {
        statuses.push_back(site.call({{"X-Attempt-Id", AK::concat("a", i)}}).status);
    }
    EXPECT_EQ(statuses, row.statuses);
    EXPECT_EQ(site.upstreams[0]->connections, row.connections);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusalConnectionTest,
                         testing::Values(ConnectionCase{"kept_after_an_answer", idempotent, {sound}, {200, 200, 200}, 1},
                                         ConnectionCase{"never_kept_for_a_request_that_may_run_once", once, {sound}, {200, 200, 200}, 3},
                                         ConnectionCase{"closed_after_a_refusal", idempotent, {ownRefusal, sound}, {503, 200, 200}, 2},
                                         ConnectionCase{"earlier_refusal_on_a_kept_connection", idempotent, {sound, otherRefusal + sound}, {200, 200, 200}, 1},
                                         ConnectionCase{"refusal_without_an_id_on_a_kept_connection",
                                                        idempotent,
                                                        {sound, response("503 Service Unavailable", notRun), sound},
                                                        {200, 502, 200},
                                                        2},
                                         ConnectionCase{"refusal_after_an_answer", idempotent, {sound + ownRefusal, sound}, {200, 200, 200}, 2}),
                         [](const auto &info) { return std::string(info.param.name); });

class EarlyRefusalTest : public testing::TestWithParam<RefusalCase>
{
};

// Guards against a refusal that arrives before the upstream has read the request, and is believed without a proof that the upstream knows which one it is.
TEST_P(EarlyRefusalTest, CountsOnlyIfItIsProven)
{
    const RefusalCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    const UpstreamScript script = scriptFor(row.responses, requests, loop);
    GatewaySite site({script, script});
    loop = &site.loop;
    for (auto &upstream : site.upstreams) {
        upstream->respondsEarly = true;
    }
    site.configure(row.kind, false, 2, 700);
    const ClientResponse response = site.call({}, "/r/1", std::string(1 << 19, 'x'));
    EXPECT_EQ(response.status, row.status);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(requests, row.requests);
}

INSTANTIATE_TEST_SUITE_P(Table, EarlyRefusalTest,
                         testing::Values(RefusalCase{"proven", once, {ownRefusal, sound}, 200, 2},
                                         RefusalCase{"without_an_id", once, {response("503 Service Unavailable", notRun), sound}, 502, 1},
                                         RefusalCase{"of_another_request_before_the_answer", once, {otherRefusal + sound, sound}, 200, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
