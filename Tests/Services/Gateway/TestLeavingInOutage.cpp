#include "LeavingSite.h"
#include <Fleet/ObjectFeeds.h>
#include <gtest/gtest.h>
#include <platform/ObjectCodec.h>

namespace
{

using LibFleet::ObjectKind;
using LibFleet::ObjectPage;
using LibFleet::StoredObject;

constexpr int64_t firstRevision = 10;
constexpr AK::Milliseconds watchInterval = 5;

/// A store that holds upstreams only and can be unreachable.
class OutageStore final : public Fleet::ObjectSource
{
public:
    explicit OutageStore(LibFiber::Loop &loop)
        : loop(loop)
    {
    }

    absl::StatusOr<ObjectPage> list(kj::WaitScope &scope, ObjectKind kind) override
    {
        this->loop.sleep(scope, 1);
        this->refusedCalls += this->down ? 1 : 0;
        return this->down ? absl::StatusOr<ObjectPage>(absl::UnavailableError("down")) : this->objects(kind);
    }

    absl::StatusOr<ObjectPage> watch(kj::WaitScope &scope, ObjectKind /*kind*/, int64_t since, AK::Milliseconds wait) override
    {
        const AK::Milliseconds until = this->loop.clock().now() + wait;
        while (!this->down && this->upstreams.position.revision <= since) {
            if (this->loop.clock().now() >= until) {
                return ObjectPage{this->upstreams.position, {}};
            }
            this->loop.sleep(scope, watchInterval);
        }
        return this->down ? absl::StatusOr<ObjectPage>(absl::UnavailableError("down")) : absl::OutOfRangeError("only lists are kept");
    }

    absl::Status put(kj::WaitScope &, ObjectKind, const std::string &, const std::string &) override
    {
        return absl::UnavailableError("down");
    }

    absl::Status erase(kj::WaitScope &, ObjectKind, const std::string &) override
    {
        return absl::UnavailableError("down");
    }

    bool down = false;
    int refusedCalls = 0;
    ObjectPage upstreams;

private:
    ObjectPage objects(ObjectKind kind) const
    {
        return kind == ObjectKind::Upstreams ? this->upstreams : ObjectPage{this->upstreams.position, {}};
    }

    LibFiber::Loop &loop;
};

struct Registration {
    std::string state = "ready";
    int64_t startTime = LeavingSite::firstStart;
    int seq = 1;
};

/// A site whose entry knows the upstreams by a store.
class OutageSite
{
public:
    OutageSite()
        : leaving({200, {}}, LibFleet::RouteKind::Idempotent)
        , store(leaving.site.loop)
        , codec(leaving.site.loop.clock(), 0, leaving.site.metrics)
        , feeds(leaving.site.loop, store, codec, leaving.site.fleet)
    {
        this->store.upstreams = this->page(Registration(), firstRevision);
        this->feeds.watchStore();
        this->leaving.wait([&] { return this->feeds.position(ObjectKind::Upstreams).revision == firstRevision; });
    }

    /// Both upstreams in the form in which the store writes them; without a registration only the second one.
    ObjectPage page(const std::optional<Registration> &first, int64_t revision) const
    {
        ObjectPage result{revision, {this->object(1, Registration(), revision)}};
        if (first) {
            result.objects.push_back(this->object(0, *first, revision));
        }
        return result;
    }

    void loseStore()
    {
        this->store.down = true;
        this->leaving.wait([&] { return this->store.refusedCalls > 0; });
        EXPECT_TRUE(this->feeds.storeLost());
    }

    void recoverStore(const ObjectPage &upstreams)
    {
        this->store.upstreams = upstreams;
        this->store.down = false;
        this->feeds.noteEra(upstreams.position.era);
        this->leaving.wait([&] { return !this->feeds.storeLost() && this->feeds.position(ObjectKind::Upstreams) == upstreams.position; });
        EXPECT_EQ(this->feeds.position(ObjectKind::Upstreams), upstreams.position);
    }

    /// Requests that reach the first upstream when more calls arrive than the second one has slots.
    size_t requestsOfFurtherCalls()
    {
        constexpr int further = 12;
        const size_t before = this->leaving.requestsOfLeaving();
        for (int i = 0; i < further; ++i) {
            this->leaving.startCall();
        }
        this->leaving.wait([&] { return this->leaving.ended == this->leaving.calls; });
        EXPECT_EQ(this->leaving.served, this->leaving.calls);
        return this->leaving.requestsOfLeaving() - before;
    }

    LeavingSite leaving;
    OutageStore store;
    Platform::ObjectCodec codec;
    Fleet::ObjectFeeds feeds;
    LibFiber::SpawnedFibersGuard fibersGuard{this->leaving.site.loop};

private:
    StoredObject object(size_t index, const Registration &registration, int64_t revision) const
    {
        const std::string spec = AK::concat(R"({"service":"s","addr":")", this->leaving.site.upstreamAddresses[index].text(),
                                            R"(","zone":"lima-1","version":"1","slots":4,"coldLeftMs":0,"state":")", registration.state, R"(","seq":)",
                                            registration.seq, R"(,"born":)", registration.startTime, "}");
        return {AK::concat("i-", index + 1), spec, false, false, revision, false};
    }
};

struct OutageCase {
    const char *name;
    /// What the store holds when it is back; the first upstream may have lapsed in the outage.
    std::optional<Registration> registration;
    /// Revision and era at which the store is back.
    LibFleet::StorePosition position;
    /// During the outage another entry still passes on a newer list with a ready upstream.
    bool peerCallsItReady;
    /// The upstream gets calls again when the store is back.
    bool isFree;
};

class LeavingInOutageTest : public testing::TestWithParam<OutageCase>
{
};

// Guards against calls to an upstream that leaves while the store does not answer, so that nothing but its own responses tells it; and against a registration
// that brings it back when the store does.
TEST_P(LeavingInOutageTest, IsTakenFromItsResponses)
{
    OutageSite site;
    site.loseStore();
    site.leaving.callUntilLeaving();
    EXPECT_EQ(site.requestsOfFurtherCalls(), 0U);
    if (GetParam().peerCallsItReady) {
        site.feeds.accept(ObjectKind::Upstreams, site.page(Registration{"ready", LeavingSite::firstStart, 2}, firstRevision + 1), "e2");
        EXPECT_EQ(site.feeds.position(ObjectKind::Upstreams).revision, firstRevision + 1);
        EXPECT_EQ(site.requestsOfFurtherCalls(), 0U);
    }
    EXPECT_TRUE(site.feeds.storeLost());
    ObjectPage back = site.page(GetParam().registration, GetParam().position.revision);
    back.position = GetParam().position;
    site.recoverStore(back);
    EXPECT_EQ(site.requestsOfFurtherCalls() > 0, GetParam().isFree);
}

INSTANTIATE_TEST_SUITE_P(
    Table, LeavingInOutageTest,
    testing::Values(OutageCase{"still_registered", Registration(), {firstRevision + 5}, false, false},
                    OutageCase{"registered_again", Registration{"ready", LeavingSite::firstStart, 9}, {firstRevision + 5}, false, false},
                    OutageCase{"called_ready_by_a_peer", Registration{"ready", LeavingSite::firstStart, 9}, {firstRevision + 5}, true, false},
                    OutageCase{"lapsed", std::nullopt, {firstRevision + 5}, false, false},
                    OutageCase{"draining", Registration{"draining", LeavingSite::firstStart, 9}, {firstRevision + 5}, false, false},
                    OutageCase{"back_from_an_older_copy", Registration(), {firstRevision - 2, 1}, false, false},
                    OutageCase{"replaced_under_its_id", Registration{"ready", LeavingSite::firstStart + 500, 1}, {firstRevision + 5}, false, true}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
