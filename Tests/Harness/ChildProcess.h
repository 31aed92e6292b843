#pragma once

#include <AK/Clock.h>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness
{

/// A program started by a test; killed and reaped on destruction.
class ChildProcess
{
public:
    /// Starts the program with stderr and stdout appended to `logFile`. Aborts the test program when it cannot be started.
    ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;
    bool running();
    void signal(int number);

    /// Waits for the end. The exit status, 128 + signal number when killed, or nothing when `limit` ms are over.
    std::optional<int> wait(AK::Milliseconds limit);

    /// Kills at once and reaps.
    void kill();

    /// Processor time used so far in ms, resident memory in KiB; from the kernel's counters.
    int64_t processorMs() const;
    int64_t residentKiB() const;

private:
    pid_t child = -1;
    std::optional<int> exitStatus;
};

/// Starts a program, waits for its end and returns its exit status and standard output; stderr goes to `logFile`.
struct CommandResult {
    int status = -1;
    std::string output;
};
CommandResult runCommand(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);

} // namespace Harness
