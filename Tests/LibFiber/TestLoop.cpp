#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using LibFiber::Loop;

struct DropCase {
    const char *name;
    /// The fiber gets a turn before it is dropped.
    bool started;
    /// The fiber is owned by another fiber and dropped by its cancellation.
    bool nested;
};

class DropTest : public testing::TestWithParam<DropCase>
{
};

// Guards against a fiber that continues after it was dropped, and against a crash when a fiber is dropped before its first turn: kj then runs it up to its
// first wait and fails an assertion inside a destructor (seen as a crash of TestGateway on a loaded machine).
TEST_P(DropTest, UnwindsWithoutContinuing)
{
    Loop loop;
    bool ran = false;
    bool unwound = false;
    const auto body = [&](kj::WaitScope &scope) {
        ran = true;
        KJ_DEFER(unwound = true);
        loop.sleep(scope, 60'000);
        ADD_FAILURE() << "a dropped fiber continued";
    };
    kj::Maybe<kj::Promise<void>> fiber;
    if (GetParam().nested) {
        fiber = loop.fiber([&](kj::WaitScope &scope) {
            kj::Promise<void> inner = loop.fiber(body);
            loop.sleep(scope, 60'000);
        });
        loop.sleep(loop.rootScope(), GetParam().started ? 5 : 0);
    } else {
        fiber = loop.fiber(body);
        if (GetParam().started) {
            loop.sleep(loop.rootScope(), 5);
        }
    }
    fiber = nullptr;
    EXPECT_EQ(ran, unwound);
    if (GetParam().started) {
        EXPECT_TRUE(ran);
    } else if (!GetParam().nested) {
        EXPECT_FALSE(ran);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, DropTest,
                         testing::Values(DropCase{"before_its_first_turn", false, false}, DropCase{"while_it_waits", true, false},
                                         DropCase{"inside_another", true, true}, DropCase{"inside_another_at_once", false, true}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a fiber that a destructor spawns during cancelSpawned(): it would outlive the objects it refers to.
TEST(Loop, SpawnsNothingAfterCancelSpawned)
{
    Loop loop;
    bool ran = false;
    loop.spawn([&](kj::WaitScope &scope) {
        KJ_DEFER(loop.spawn([&](kj::WaitScope &) { ran = true; }));
        loop.sleep(scope, 60'000);
    });
    loop.sleep(loop.rootScope(), 5);
    loop.cancelSpawned();
    loop.sleep(loop.rootScope(), 5);
    EXPECT_FALSE(ran);
}

enum class Wait { Sleep, After, Await };

struct WaitCase {
    const char *name;
    Wait wait;
};

class LongTurnTest : public testing::TestWithParam<WaitCase>
{
};

// Guards against a wait that ends before its time because the turn of the loop in which it began had taken long: the timer counted from the start of the turn.
TEST_P(LongTurnTest, DoesNotShortenAWait)
{
    constexpr AK::Milliseconds work = 120;
    constexpr AK::Milliseconds duration = 80;
    Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    loop.sleep(scope, 1);
    loop.clock().sleep(work);
    const AK::Milliseconds startedAt = loop.clock().now();
    switch (GetParam().wait) {
    case Wait::Sleep:
        loop.sleep(scope, duration);
        break;
    case Wait::After:
        loop.after(duration).wait(scope);
        break;
    case Wait::Await:
        EXPECT_TRUE(absl::IsDeadlineExceeded(loop.awaitDone(scope, kj::NEVER_DONE, startedAt + duration)));
        break;
    }
    EXPECT_GE(loop.clock().now() - startedAt, duration);
}

INSTANTIATE_TEST_SUITE_P(Table, LongTurnTest, testing::Values(WaitCase{"sleep", Wait::Sleep}, WaitCase{"after", Wait::After}, WaitCase{"await", Wait::Await}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against taking the cancellation of the accepting fiber for a failed accept, after which the fiber would wait again.
TEST(Acceptor, AcceptsConnectionsUntilCancelled)
{
    Loop loop;
    const AK::Endpoint address{Loopback::processHost(), 17'990};
    int accepted = 0;
    auto receiver = LibFiber::listenOn(loop, address);
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &, kj::Own<kj::AsyncIoStream>) { ++accepted; });
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(LibFiber::ByteChannel::connect(loop, loop.rootScope(), address, loop.clock().now() + 2'000).ok());
    }
    const AK::Milliseconds deadline = loop.clock().now() + 2'000;
    while (accepted < 3 && loop.clock().now() < deadline) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_EQ(accepted, 3);
    loop.cancelSpawned();
}

} // namespace
