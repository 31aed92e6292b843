#pragma once

#include "MemoryStore.h"
#include <AK/Clock.h>
#include <LibOnce/OnceRunner.h>
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <ucontext.h>
#include <vector>

/// Bounds of one exploration: all orders with at most this many preemptions and faults are run.
struct ExplorerBounds {
    int preemptions = 2;
    int faults = 1;
};

struct ExplorerReport {
    long cases = 0;
    long done = 0;
    long notRun = 0;
    long unknown = 0;
    long violations = 0;
    /// Choices of the first violation, for a replay by hand.
    std::string firstViolation;
};

/// Clock that moves only when a case moves it.
class ManualClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return 1'000'000 + this->time;
    }
    void sleep(AK::Milliseconds /*duration*/) const override
    {
    }
    AK::Milliseconds time = 1'000;
};

/// Enumerates sequences of choices depth first.
class Choices
{
public:
    /// A number in [0, count) that differs between cases until all sequences have been run.
    int choose(int count);

    /// Prepares the next case; false after the last one.
    bool next();

    std::string text() const;

private:
    std::vector<std::pair<int, int>> path;
    size_t position = 0;
};

/// One case: two processes with ClaimRunners, three requests with the same key, background passes and the cleaner, all on fibers of a deterministic scheduler
/// that switches at every store call and dispatch.
class ExploredCase
{
public:
    ExploredCase(Choices &choices, ExplorerBounds bounds, StoreWeakness weakness, AK::Milliseconds window);

    /// Runs the case and returns what was violated, or nothing.
    std::string run(ExplorerReport &report);

private:
    struct Told {
        LibOnce::Outcome outcome;
        std::string body;
    };
    struct Fiber {
        ucontext_t context{};
        int process = 0;
        bool finished = false;
        std::function<void()> body;
    };

    static void enter();
    void addFiber(int process, std::function<void()> body);
    void resume(size_t next);
    void schedule();
    void yield();
    bool spendFault(int count, int &choice);
    StoreFault decideStore(bool write);
    LibOnce::DispatchResult dispatch(int request, AK::Milliseconds startBefore);
    void execute(int request);
    std::string check(ExplorerReport &report) const;

    Choices &choices;
    ExplorerBounds left;
    AK::Milliseconds window;
    ManualClock clock;
    MemoryStore store;
    ucontext_t main{};
    std::vector<std::unique_ptr<Fiber>> fibers;
    size_t current = 0;
    std::set<int> crashed;
    /// Expiry of claims; executions in different lifetimes of a key are allowed.
    int lifetime = 0;
    std::vector<std::pair<int, int>> executions;
    std::array<std::optional<Told>, 4> told;
};

/// Runs all cases within the bounds, or stops at the first violation.
ExplorerReport explore(ExplorerBounds bounds, StoreWeakness weakness, AK::Milliseconds window, bool stopAtViolation);
