#include <Kernel/Daemon.h>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

namespace
{

struct SignalCase {
    const char *name;
    int signal;
};

class EarlySignalTest : public testing::TestWithParam<SignalCase>
{
};

// Guards against a daemon that is ended by a signal that arrives during its start, before it handles signals.
TEST_P(EarlySignalTest, WaitsUntilItIsHandled)
{
    EXPECT_EXIT(
        {
            Kernel::blockSignals();
            std::raise(GetParam().signal);
            std::exit(0);
        },
        testing::ExitedWithCode(0), "");
}

INSTANTIATE_TEST_SUITE_P(Table, EarlySignalTest,
                         testing::Values(SignalCase{"terminate", SIGTERM}, SignalCase{"interrupt", SIGINT}, SignalCase{"reload", SIGHUP}),
                         [](const auto &info) { return info.param.name; });

} // namespace
