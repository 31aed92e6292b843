#include <LibWire/RpcConnection.h>
#include <LibWire/RpcServer.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace
{

class FixedRevision final : public LibWire::RevisionHandler
{
public:
    uint64_t offerRevision(uint64_t revision, std::string_view) override
    {
        return revision;
    }
    std::pair<uint64_t, std::string> fetchRevision() override
    {
        return {7, "document"};
    }
};

AK::Endpoint testEndpoint(int host)
{
    return {AK::concat("127.77.", getpid() % 250 + 1, ".", host), 7200};
}

std::shared_ptr<LibWire::KeyRing> makeKeyRing(const AK::Clock &clock, std::vector<LibWire::SharedKey> keys)
{
    return std::make_shared<LibWire::KeyRing>(std::move(keys), clock);
}

struct LoginCase {
    const char *name;
    std::vector<LibWire::SharedKey> serverKeys;
    std::vector<LibWire::SharedKey> clientKeys;
    bool accepted;
};

class LoginTest : public testing::TestWithParam<LoginCase>
{
};

const LibWire::SharedKey oldKey{"2026-11", "old-secret-old-secret"};
const LibWire::SharedKey newKey{"2026-12", "new-secret-new-secret"};

// Guards against accepting requests of processes without the site's key, and against an outage while keys are rotated.
TEST_P(LoginTest, AcceptsOnlyHoldersOfAKey)
{
    const AK::SystemClock clock;
    FixedRevision revision;
    LibWire::NodeHandlers handlers;
    handlers.revision = &revision;
    const AK::Endpoint endpoint = testEndpoint(1);
    LibWire::RpcServer server(endpoint, makeKeyRing(clock, GetParam().serverKeys), handlers, 10);
    ASSERT_TRUE(server.start().ok());
    std::thread([&] {
        auto connection = LibWire::RpcConnection::open(endpoint, {"tester", makeKeyRing(clock, GetParam().clientKeys)}, 1000);
        ASSERT_TRUE(connection.ok()) << connection.status();
        auto reply = (*connection)->call((*connection)->node().fetchRevisionRequest(), 1000);
        EXPECT_EQ(reply.ok(), GetParam().accepted) << reply.status();
        if (reply.ok()) {
            EXPECT_EQ(reply->getRevision(), 7U);
        }
    }).join();
    EXPECT_EQ(server.refusedLogins(), GetParam().accepted ? 0U : 1U);
    server.stop();
}

INSTANTIATE_TEST_SUITE_P(Table, LoginTest,
                         testing::Values(LoginCase{"same_key", {newKey}, {newKey}, true}, LoginCase{"client_not_rotated", {newKey, oldKey}, {oldKey}, true},
                                         LoginCase{"unknown_key", {newKey}, {oldKey}, false},
                                         LoginCase{"wrong_secret", {newKey}, {{"2026-12", "guessed-guessed-guessed"}}, false},
                                         LoginCase{"no_key", {newKey}, {}, false}),
                         [](const auto &info) { return info.param.name; });

// Guards against a recorded login being replayed, sent to another process, or sent late.
TEST(KeyRing, RefusesReplayOtherTargetAndOldProof)
{
    const AK::SystemClock clock;
    LibWire::KeyRing client({newKey}, clock);
    LibWire::KeyRing server({newKey}, clock);
    const LibWire::LoginProof proof = client.sign("tester", testEndpoint(1));
    EXPECT_FALSE(server.verify(proof, testEndpoint(2)).ok());
    EXPECT_TRUE(server.verify(proof, testEndpoint(1)).ok());
    EXPECT_FALSE(server.verify(proof, testEndpoint(1)).ok());
    LibWire::LoginProof old = client.sign("tester", testEndpoint(1));
    old.timeMs -= 2 * LibWire::KeyRing::proofLifetimeMs;
    EXPECT_FALSE(server.verify(old, testEndpoint(1)).ok());
}

} // namespace
