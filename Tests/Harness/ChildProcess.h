#pragma once

#include <AK/Clock.h>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness
{

/// How a program finds its signals when it starts. A signal that is in neither list is unblocked and has its default action.
struct StartSignals {
    std::vector<int> blocked;
    std::vector<int> ignored;
};

/// A program started by a test. The destructor kills and reaps it.
class ChildProcess
{
public:
    /// Starts the program with stderr and stdout appended to `logFile`. Aborts the test program when it cannot be started.
    ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &logFile, const StartSignals &signals = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;
    bool running();
    void signal(int number);

    /// Waits for the process to end. Returns its exit status, 128 + the signal number when a signal ended it, or nothing after `limit` ms.
    std::optional<int> wait(AK::Milliseconds limit);

    /// Sends SIGKILL and reaps the process.
    void kill();

    /// Processor time used so far in ms and resident memory in KiB, as counted by the kernel; 0 when not available.
    int64_t processorMs() const;
    int64_t residentKiB() const;

private:
    pid_t child = -1;
    std::optional<int> exitStatus;
};

struct CommandResult {
    /// Exit status, or 128 + the signal number when a signal ended the program.
    int status = -1;
    /// Standard output.
    std::string output;
};

/// Starts a program and waits until it ends. Its stderr is appended to `logFile`. Aborts the test program when no pipe can be created.
CommandResult runCommand(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);

} // namespace Harness
