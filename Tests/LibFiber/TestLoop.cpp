#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <gtest/gtest.h>

namespace
{

using LibFiber::Loop;

struct DropCase {
    const char *name;
    /// Turns of the loop between the start of the fiber and its end.
    bool started;
    /// The fiber is dropped by the end of another one that holds it.
    bool nested;
};

class DropTest : public testing::TestWithParam<DropCase>
{
};

// Guards against a fiber that runs after it was dropped, and against a process that ends because a fiber was dropped before its first turn: the library then
// runs it up to its first wait and fails an assertion inside a destructor (TestGateway crashed so beside load).
TEST_P(DropTest, EndsWithoutRunningOn)
{
    Loop loop;
    bool ran = false;
    bool unwound = false;
    const auto work = [&](kj::WaitScope &scope) {
        ran = true;
        KJ_DEFER(unwound = true);
        loop.sleep(scope, 60'000);
        ADD_FAILURE() << "a dropped fiber went on";
    };
    kj::Maybe<kj::Promise<void>> fiber;
    if (GetParam().nested) {
        fiber = loop.fiber([&](kj::WaitScope &scope) {
            kj::Promise<void> inner = loop.fiber(work);
            loop.sleep(scope, 60'000);
        });
        loop.sleep(loop.rootScope(), GetParam().started ? 5 : 0);
    } else {
        fiber = loop.fiber(work);
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

// Guards against a fiber that a destructor starts while all are ended: it would outlive what it refers to.
TEST(Loop, StartsNothingOnceItsFibersAreEnded)
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

// Guards against an end of the accepting fiber that is taken for a failed accept, after which it would wait again.
TEST(Acceptor, TakesConnectionsUntilItsLoopEndsIt)
{
    Loop loop;
    const AK::Endpoint address{"127.0.0.1", 17'990};
    int taken = 0;
    auto receiver = LibFiber::listenOn(loop, address);
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &, kj::Own<kj::AsyncIoStream>) { ++taken; });
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(LibFiber::ByteChannel::connect(loop, loop.rootScope(), address, loop.clock().now() + 2'000).ok());
    }
    const AK::Milliseconds deadline = loop.clock().now() + 2'000;
    while (taken < 3 && loop.clock().now() < deadline) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_EQ(taken, 3);
    loop.cancelSpawned();
}

} // namespace
