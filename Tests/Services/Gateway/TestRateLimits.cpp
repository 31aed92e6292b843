#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 1'500;
constexpr AK::Milliseconds callInterval = 12;
/// Time from the first response that names a limit to the start of the window in which it must be kept.
constexpr AK::Milliseconds settleTime = 500;
constexpr AK::Milliseconds window = 4'000;

struct RateLimitCase {
    const char *name;
    RouteKind kind;
    /// The limit that each upstream names, in calls per second; 0 for none.
    std::vector<double> limits;
    /// Responses of an upstream that has a limit say that it has not run the call.
    bool rejects;
    /// Least share of calls that are served.
    double leastServed;
};

class RateLimitTest : public testing::TestWithParam<RateLimitCase>
{
};

// Guards against an upstream that gets more calls than the limit that it names in its responses, and against calls that are lost while others could take them.
TEST_P(RateLimitTest, IsKept)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    LibFiber::Loop *loop = nullptr;
    std::vector<std::vector<AK::Milliseconds>> arrivals(GetParam().limits.size());
    std::vector<UpstreamScript> scripts;
    for (size_t index = 0; index < GetParam().limits.size(); ++index) {
        scripts.push_back([&, index](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
            arrivals[index].push_back(loop->clock().now());
            const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
            LibHttpStream::Headers more;
            const double limit = GetParam().limits[index];
            if (limit > 0) {
                more.push_back({"Server-Limit", AK::concat(limit)});
            }
            if (limit > 0 && GetParam().rejects) {
                more.push_back({"X-Not-Executed", "1"});
                writeResponse(scope, channel, *loop, id, 503, "", 0, more);
                return true;
            }
            if (GetParam().kind == RouteKind::Stream) {
                more.push_back({"Content-Type", "text/event-stream"});
            }
            const std::string body = GetParam().kind == RouteKind::Stream ? "id: 1\ndata: word\n\n" : "hello";
            writeResponse(scope, channel, *loop, id, 200, body, body.size(), more);
            return true;
        });
    }
    GatewaySite site(scripts);
    loop = &site.loop;
    site.configure(GetParam().kind, true, 2, callTimeout);
    int calls = 0;
    int served = 0;
    int ended = 0;
    const AK::Milliseconds until = loop->clock().now() + settleTime + window + callTimeout;
    while (loop->clock().now() < until) {
        const std::string id = AK::concat("a", ++calls);
        loop->spawn([&, id](kj::WaitScope &scope) {
            const ClientResponse response = site.callFrom(scope, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
            served += response.status == 200 && response.complete ? 1 : 0;
            ++ended;
        });
        loop->sleep(loop->rootScope(), callInterval);
    }
    while (ended < calls) {
        loop->sleep(loop->rootScope(), callInterval);
    }
    EXPECT_GE(served, static_cast<int>(GetParam().leastServed * calls));
    for (size_t index = 0; index < arrivals.size(); ++index) {
        const double limit = GetParam().limits[index];
        ASSERT_FALSE(arrivals[index].empty());
        size_t most = 0;
        for (auto first = arrivals[index].begin(); first != arrivals[index].end(); ++first) {
            if (*first >= arrivals[index].front() + settleTime) {
                const auto end = std::upper_bound(first, arrivals[index].end(), *first + window);
                most = std::max(most, static_cast<size_t>(end - first));
            }
        }
        if (limit > 0) {
            EXPECT_LE(static_cast<double>(most), tolerance * limit * static_cast<double>(window) / 1'000 + slack) << "upstream " << index;
            // The limit is used.
            EXPECT_GE(static_cast<double>(most), limit * static_cast<double>(window) / 1'000 / 2) << "upstream " << index;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RateLimitTest,
                         testing::Values(RateLimitCase{"alone", RouteKind::Idempotent, {12.5}, false, 0.1},
                                         RateLimitCase{"beside_one_without", RouteKind::Idempotent, {6, 0}, false, 0.98},
                                         RateLimitCase{"streams", RouteKind::Stream, {8, 4, 0}, false, 0.98},
                                         RateLimitCase{"below_one_a_second", RouteKind::Idempotent, {0.7, 0}, false, 0.98},
                                         RateLimitCase{"named_in_rejections", RouteKind::Idempotent, {8, 0}, true, 0.9}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
