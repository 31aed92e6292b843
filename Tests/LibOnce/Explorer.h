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

/// Bounds of one exploration: every interleaving with at most this many preemptions and faults is run.
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
    /// First violation and the choices that led to it, to reproduce it by hand.
    std::string firstViolation;
};

/// Clock that advances only when a test changes `time`.
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

/// Enumerates all sequences of choices in depth-first order.
class Choices
{
public:
    /// Returns the choice of the current case, a number in [0, count).
    int choose(int count);

    /// Advances to the next case. Returns false after the last one.
    bool next();

    std::string text() const;

private:
    std::vector<std::pair<int, int>> path;
    size_t position = 0;
};

/// One case: two processes with a ClaimRunner each, three requests with the same key, background passes and the removal of expired claims, run on fibers by a
/// deterministic scheduler that can switch at every store call and dispatch.
class ExploredCase
{
public:
    ExploredCase(Choices &choices, ExplorerBounds bounds, StoreDefects defects, AK::Milliseconds window);

    /// Runs the case. Returns a description of the violated property, or an empty text.
    std::string run(ExplorerReport &report);

private:
    struct CallerResult {
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
    bool chooseFault(int count, int &choice);
    StoreFault chooseStoreFault(bool write);
    LibOnce::DispatchResult dispatch(int request, AK::Milliseconds startBefore);
    void execute(int request);
    std::string check(ExplorerReport &report) const;

    Choices &choices;
    ExplorerBounds remaining;
    AK::Milliseconds window;
    ManualClock clock;
    MemoryStore store;
    ucontext_t main{};
    std::vector<std::unique_ptr<Fiber>> fibers;
    size_t current = 0;
    std::set<int> crashed;
    /// Number of claim expiries so far. A call may run once in each lifetime of its key.
    int lifetime = 0;
    std::vector<std::pair<int, int>> executions;
    std::array<std::optional<CallerResult>, 4> callerResults;
};

/// Runs all cases within the bounds; with `stopAtViolation` ends at the first violation.
ExplorerReport explore(ExplorerBounds bounds, StoreDefects defects, AK::Milliseconds window, bool stopAtViolation);
