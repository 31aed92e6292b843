#include "GatewaySite.h"
#include "SlotSite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using Gateway::CallRequirements;
using Gateway::Dispatcher;
using LibGateway::Obstacle;

/// A way on which a call reaches an upstream.
enum class Path {
    /// The entry chooses an upstream of its own, for a first attempt, a retry or a resumed stream.
    Choice,
    /// A slot becomes free for a call that waits in the queue.
    Queue,
    /// The entry offers a slot to a call of another entry.
    Offer,
    /// The entry takes a slot from the owner of the upstream.
    Request,
    /// The slot is held and the request is about to be written.
    Send,
};

constexpr std::array pathNames{
    AK::EnumName{Path::Choice, "choice"},   AK::EnumName{Path::Queue, "queue"}, AK::EnumName{Path::Offer, "offer"},
    AK::EnumName{Path::Request, "request"}, AK::EnumName{Path::Send, "send"},
};

struct ObstacleCase {
    const char *name;
    /// Raises the obstacle for the upstream i-2, as the given dispatcher sees it. Nothing for no obstacle.
    std::function<void(SlotSite &, Dispatcher &, CallRequirements &)> raise;
};

void changeRecord(SlotSite &site, const std::function<void(LibFleet::UpstreamRecord &)> &change)
{
    LibFleet::UpstreamRecord record = site.fleet.upstreams().at("i-2");
    change(record);
    site.fleet.setUpstreams({{"i-2", record}});
}

/// Tries the ways to the upstream i-2, which the second entry owns.
class CallPaths
{
public:
    CallPaths()
    {
        this->site.fleet.setUpstreams({{"i-2", engineRecord("i-2", "cusco-1", 2)}});
    }

    bool reaches(Path path, const ObstacleCase &obstacle)
    {
        switch (path) {
        case Path::Choice:
            return this->reachesAtOnce(this->site.second, obstacle);
        case Path::Queue:
            return this->reachesFromQueue(this->site.second, obstacle);
        case Path::Offer:
            return this->reachesByOffer(obstacle);
        case Path::Request:
            return this->reachesAtOnce(this->site.first, obstacle);
        case Path::Send:
            return this->isSent(this->site.second, obstacle) && this->isSent(this->site.first, obstacle);
        }
        return false;
    }

private:
    CallRequirements requirements() const
    {
        CallRequirements requirements = this->site.requirements();
        requirements.startBy += shortWait;
        return requirements;
    }

    bool reachesFromQueue(Dispatcher &dispatcher, const ObstacleCase &obstacle)
    {
        kj::Maybe<kj::Own<Gateway::Grant>> held = this->site.hold(dispatcher);
        CallRequirements waiting = this->requirements();
        bool granted = false;
        this->site.loop.spawn([&](kj::WaitScope &scope) { granted = dispatcher.acquire(scope, waiting).grant != nullptr; });
        this->site.loop.sleep(this->site.loop.rootScope(), shortWait / 4);
        EXPECT_EQ(dispatcher.waitingCalls(), 1U);
        obstacle.raise(this->site, dispatcher, waiting);
        held = nullptr;
        this->site.loop.sleep(this->site.loop.rootScope(), 3 * shortWait);
        return granted;
    }

    bool reachesByOffer(const ObstacleCase &obstacle)
    {
        CallRequirements requirements = this->requirements();
        obstacle.raise(this->site, this->site.second, requirements);
        LibPeers::SlotRequest request{"s", longPrompt, 0, false, requirements.regions, {}};
        request.excluded.assign(requirements.excluded.begin(), requirements.excluded.end());
        return this->site.second.offerSlot(request) != nullptr;
    }

    bool reachesAtOnce(Dispatcher &dispatcher, const ObstacleCase &obstacle)
    {
        CallRequirements requirements = this->requirements();
        obstacle.raise(this->site, dispatcher, requirements);
        return !upstreamOf(this->site.acquire(dispatcher, requirements)).empty();
    }

    bool isSent(Dispatcher &dispatcher, const ObstacleCase &obstacle)
    {
        const kj::Own<Gateway::Grant> grant = this->site.hold(dispatcher);
        CallRequirements requirements = this->requirements();
        obstacle.raise(this->site, dispatcher, requirements);
        return !dispatcher.hindranceToSend(*grant, requirements);
    }

    SlotSite site;
};

class CallPathTest : public testing::TestWithParam<std::tuple<Path, ObstacleCase>>
{
};

// Guards against a way to an upstream that goes round a reason against it.
TEST_P(CallPathTest, KeepsObstacles)
{
    const auto &[path, obstacle] = GetParam();
    const bool free = std::string(obstacle.name) == "none";
    CallPaths paths;
    EXPECT_EQ(paths.reaches(path, obstacle), free);
}

INSTANTIATE_TEST_SUITE_P(
    Table, CallPathTest,
    testing::Combine(testing::Values(Path::Choice, Path::Queue, Path::Offer, Path::Request, Path::Send),
                     testing::Values(
                         ObstacleCase{"none",
                                      [](SlotSite &, Dispatcher &, CallRequirements &) {
                                      }},
                         ObstacleCase{"draining",
                                      [](SlotSite &site, Dispatcher &, CallRequirements &) {
                                          changeRecord(site, [](auto &record) { record.state = LibFleet::UpstreamState::Draining; });
                                      }},
                         ObstacleCase{"leaving",
                                      [](SlotSite &site, Dispatcher &dispatcher, CallRequirements &) {
                                          LibGateway::ResponseInfo response;
                                          response.leaving = true;
                                          dispatcher.recordResponse(site.fleet.upstreams().at("i-2"), response, 0);
                                      }},
                         ObstacleCase{"paused",
                                     [](SlotSite &site, Dispatcher &dispatcher, CallRequirements &) {
                                         LibGateway::ResponseInfo response;
                                         response.pause = 10 * shortWait;
                                         dispatcher.recordResponse(site.fleet.upstreams().at("i-2"), response, 0);
                                     }},
                        ObstacleCase{"unregistered",
                                      [](SlotSite &site, Dispatcher &, CallRequirements &) {
                                          site.fleet.setUpstreams({});
                                      }},
                         ObstacleCase{"evacuated",
                                      [](SlotSite &site, Dispatcher &, CallRequirements &) {
                                          site.fleet.setEvacuations({"cusco-1"});
                                      }},
                         ObstacleCase{"suspended",
                                      [](SlotSite &site, Dispatcher &dispatcher, CallRequirements &) {
                                          constexpr int failures = 3;
                                          for (int i = 0; i < failures; ++i) {
                                              dispatcher.recordOutcome(site.fleet.upstreams().at("i-2"), true);
                                          }
                                      }},
                         ObstacleCase{"other_region",
                                      [](SlotSite &, Dispatcher &, CallRequirements &requirements) {
                                          requirements.regions = {"lima"};
                                      }},
                         ObstacleCase{
                             "excluded",
                             [](SlotSite &, Dispatcher &, CallRequirements &requirements) {
                                 requirements.excluded = {"i-2"};
                             }})),
    [](const auto &info) { return AK::concat(AK::nameOf(pathNames, std::get<0>(info.param)), "_", std::get<1>(info.param).name); });

struct ReplacedCase {
    const char *name;
    std::function<void(LibFleet::UpstreamRecord &)> change;
};

class ReplacedUpstreamTest : public testing::TestWithParam<ReplacedCase>
{
};

// Guards against a call that was granted an upstream and is sent to what has taken over its id or address.
TEST_P(ReplacedUpstreamTest, GetsNoCallOfItsPredecessor)
{
    SlotSite site;
    site.fleet.setUpstreams({{"i-2", engineRecord("i-2", "cusco-1", 2)}});
    const kj::Own<Gateway::Grant> grant = site.hold(site.second);
    changeRecord(site, GetParam().change);
    EXPECT_EQ(site.second.hindranceToSend(*grant, site.requirements()), LibGateway::Hindrance{Obstacle::Replaced});
}

INSTANTIATE_TEST_SUITE_P(Table, ReplacedUpstreamTest,
                         testing::Values(ReplacedCase{"restarted",
                                                      [](auto &record) {
                                                          record.startTime = 5;
                                                      }},
                                         ReplacedCase{"moved",
                                                      [](auto &record) {
                                                          record.address.port = 3;
                                                      }}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LateObstacleCase {
    const char *name;
    std::optional<LibGateway::Hindrance> hindrance;
    size_t requests;
};

class LateObstacleTest : public testing::TestWithParam<LateObstacleCase>
{
};

// Guards against a request that is written although its upstream has become unusable while the connection opened.
TEST_P(LateObstacleTest, WithholdsTheRequest)
{
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        writeResponse(scope, channel, *loop, "a1", 200, "", 0);
        return true;
    }});
    loop = &site.loop;
    Gateway::UpstreamCall call(site.loop, site.connections, site.codec);
    const auto makeHead = [] {
        return LibHttpStream::RequestHead{"POST", "/r/1", {{"X-Attempt-Id", "a1"}}};
    };
    const AK::Milliseconds deadline = loop->clock().now() + shortWait;
    const Gateway::UpstreamCall::Result result =
        call.send(loop->rootScope(), site.fleet.upstreams().at("i-1"), makeHead, "", "a1", true, deadline, deadline, [] { return GetParam().hindrance; });
    EXPECT_EQ(result.outcome, GetParam().hindrance ? Gateway::SendOutcome::NotRun : Gateway::SendOutcome::Answered);
    EXPECT_EQ(result.withheldBy.has_value(), GetParam().hindrance.has_value());
    loop->sleep(loop->rootScope(), shortWait / 4);
    EXPECT_EQ(site.upstreams[0]->requests.size(), GetParam().requests);
}

INSTANTIATE_TEST_SUITE_P(Table, LateObstacleTest,
                         testing::Values(LateObstacleCase{"none", std::nullopt, 1}, LateObstacleCase{"draining", LibGateway::Hindrance{Obstacle::Draining}, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
