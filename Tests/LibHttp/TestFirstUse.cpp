#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

constexpr unsigned seed = 20261205;
constexpr int batches = 60;
constexpr int batchSize = 24;
constexpr unsigned processLimitSeconds = 20;
constexpr int maxDelayTurns = 400;

// A port without a listener: an attempt to connect ends at once.
const AK::Endpoint closedEndpoint{"127.0.0.1", 1};

enum class User { Client, Server };

struct FirstUseCase {
    std::string name;
    std::vector<User> users;
};

// What a user does first, with everything made that needs no library.
std::function<void()> firstUse(User user)
{
    if (user == User::Client) {
        return [] {
            (void)LibHttp::HttpStream::open(closedEndpoint, {}, 10);
        };
    }
    // An address that can't be bound keeps the rounds short.
    auto server =
        std::make_shared<LibHttp::HttpServer>(AK::Endpoint{"127.0.0.256", 1}, LibHttp::HttpServerLimits{.threads = 1}, [](LibHttp::HttpExchange &) {});
    return [server] {
        (void)server->start();
    };
}

// All users start at nearly the same moment, each on its own thread and after a delay of its own.
void useLibraryTogether(const std::vector<User> &users, std::mt19937 &random)
{
    std::uniform_int_distribution<int> delay(0, maxDelayTurns);
    std::atomic<size_t> ready{0};
    std::vector<std::thread> threads;
    threads.reserve(users.size());
    for (const User user : users) {
        threads.emplace_back([&ready, &users, use = firstUse(user), turns = delay(random)] {
            ++ready;
            while (ready < users.size()) {}
            for (std::atomic<int> turn{0}; turn < turns; ++turn) {}
            use();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

// Runs a batch of processes at a time, because the library is set up once per process. Returns how many of them failed.
int countFailedProcesses(const std::vector<User> &users)
{
    std::mt19937 random(seed);
    int failed = 0;
    for (int batch = 0; batch < batches; ++batch) {
        std::vector<pid_t> children;
        for (int i = 0; i < batchSize; ++i) {
            random.discard(users.size());
            children.push_back(::fork());
            if (children.back() == 0) {
                ::alarm(processLimitSeconds);
                useLibraryTogether(users, random);
                ::_exit(0);
            }
        }
        for (const pid_t child : children) {
            int status = 0;
            failed += ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0 ? 0 : 1;
        }
    }
    return failed;
}

class FirstUseTest : public testing::TestWithParam<FirstUseCase>
{
};

// Guards against a process that aborts in its start because a client and a server set up the library at the same time.
TEST_P(FirstUseTest, SetsUpTheLibraryOnce)
{
    // The threadsafe style starts this program again, so that no other test has used the library before.
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(std::exit(std::min(countFailedProcesses(this->GetParam().users), 255)), testing::ExitedWithCode(0), "");
}

INSTANTIATE_TEST_SUITE_P(Table, FirstUseTest,
                         testing::Values(FirstUseCase{"client_and_server", {User::Client, User::Server}},
                                         FirstUseCase{"clients_and_server", {User::Client, User::Client, User::Server}},
                                         FirstUseCase{"servers", {User::Server, User::Server}}),
                         [](const auto &info) { return info.param.name; });

} // namespace
