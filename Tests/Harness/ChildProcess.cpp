#include <Harness/ChildProcess.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <pthread.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Harness
{

namespace
{

constexpr AK::Milliseconds waitPollMs = 5;

std::vector<char *> argumentPointers(std::string &program, std::vector<std::string> &arguments)
{
    std::vector<char *> pointers{program.data()};
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

sigset_t signalSet(const std::vector<int> &numbers)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : numbers) {
        sigaddset(&set, number);
    }
    return set;
}

// Runs in the child process. The child is killed when its parent ends, so that a killed test leaves no daemons running.
[[noreturn]] void execute(std::vector<char *> &arguments, int output, int errors, const StartSignals &signals)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(errors, STDERR_FILENO);
    for (const int number : signals.ignored) {
        std::signal(number, SIG_IGN);
    }
    const sigset_t blocked = signalSet(signals.blocked);
    sigprocmask(SIG_SETMASK, &blocked, nullptr);
    ::execv(arguments[0], arguments.data());
    std::perror(arguments[0]);
    ::_exit(127);
}

int exitStatusOf(int waitStatus)
{
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : 128 + WTERMSIG(waitStatus);
}

} // namespace

ChildProcess::ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &logFile, const StartSignals &signals)
{
    std::vector<char *> pointers = argumentPointers(program, arguments);
    // A signal may reach the child before it has set its own mask and actions.
    const sigset_t blocked = signalSet(signals.blocked);
    const sigset_t ignored = signalSet(signals.ignored);
    sigset_t before;
    pthread_sigmask(SIG_BLOCK, &blocked, &before);
    pthread_sigmask(SIG_BLOCK, &ignored, nullptr);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->child = ::fork();
    if (this->child == 0) {
        execute(pointers, log, log, signals);
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    ::close(log);
    if (this->child < 0) {
        std::perror("fork");
        std::abort();
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

pid_t ChildProcess::pid() const
{
    return this->child;
}

bool ChildProcess::running()
{
    return !this->wait(0).has_value();
}

void ChildProcess::signal(int number)
{
    if (!this->exitStatus) {
        ::kill(this->child, number);
    }
}

std::optional<int> ChildProcess::wait(AK::Milliseconds limit)
{
    const AK::SystemClock clock;
    const AK::Milliseconds end = clock.now() + limit;
    while (!this->exitStatus) {
        int waitStatus = 0;
        if (::waitpid(this->child, &waitStatus, WNOHANG) == this->child) {
            this->exitStatus = exitStatusOf(waitStatus);
            break;
        }
        if (clock.now() >= end) {
            return std::nullopt;
        }
        clock.sleep(waitPollMs);
    }
    return this->exitStatus;
}

void ChildProcess::kill()
{
    if (!this->exitStatus) {
        ::kill(this->child, SIGKILL);
        int waitStatus = 0;
        ::waitpid(this->child, &waitStatus, 0);
        this->exitStatus = exitStatusOf(waitStatus);
    }
}

int64_t ChildProcess::processorMs() const
{
    // The CPU clock of the process counts in nanoseconds and includes threads that have ended; /proc/PID/stat counts in steps of 10 ms.
    clockid_t clock = 0;
    timespec used{};
    if (::clock_getcpuclockid(this->child, &clock) != 0 || ::clock_gettime(clock, &used) != 0) {
        return 0;
    }
    return int64_t{used.tv_sec} * 1'000 + used.tv_nsec / 1'000'000;
}

int64_t ChildProcess::residentKiB() const
{
    std::ifstream file("/proc/" + std::to_string(this->child) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::atoll(line.c_str() + 6);
        }
    }
    return 0;
}

CommandResult runCommand(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::string path = program;
    std::vector<std::string> copies = arguments;
    std::vector<char *> pointers = argumentPointers(path, copies);
    std::array<int, 2> pipeEnds{};
    if (::pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        std::perror("pipe2");
        std::abort();
    }
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t child = ::fork();
    if (child == 0) {
        execute(pointers, pipeEnds[1], log, {});
    }
    ::close(pipeEnds[1]);
    ::close(log);
    CommandResult result;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = ::read(pipeEnds[0], buffer.data(), buffer.size())) > 0) {
        result.output.append(buffer.data(), static_cast<size_t>(size));
    }
    ::close(pipeEnds[0]);
    int waitStatus = 0;
    ::waitpid(child, &waitStatus, 0);
    result.status = exitStatusOf(waitStatus);
    return result;
}

} // namespace Harness
