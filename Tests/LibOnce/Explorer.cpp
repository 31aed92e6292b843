#include "Explorer.h"

#include <AK/Text.h>
#include <LibOnce/ClaimRunner.h>
#include <iostream>

namespace
{

using LibOnce::DispatchResult;
using LibOnce::Outcome;

// Thrown to end a fiber of a crashed process. Not a std::exception, so that no handler of the code under test catches it.
struct Crashed {
};

constexpr size_t stackBytes = 256 << 10;
constexpr size_t fiberLimit = 5;
// Longer than the dispatch window.
constexpr AK::Milliseconds pauseMs = 2'001;
// Longer than the lifetime of a claim.
constexpr AK::Milliseconds expiryMs = AK::Milliseconds{8} * 24 * 3'600'000;

std::array<std::vector<char>, fiberLimit> &stacks()
{
    static std::array<std::vector<char>, fiberLimit> all;
    return all;
}

ExploredCase *runningCase = nullptr;

} // namespace

int Choices::choose(int count)
{
    if (this->position == this->path.size()) {
        this->path.emplace_back(0, count);
    }
    return this->path[this->position++].first;
}

bool Choices::next()
{
    this->path.resize(this->position);
    this->position = 0;
    while (!this->path.empty() && this->path.back().first + 1 == this->path.back().second) {
        this->path.pop_back();
    }
    if (this->path.empty()) {
        return false;
    }
    ++this->path.back().first;
    return true;
}

std::string Choices::text() const
{
    std::string joined;
    for (const auto &[chosen, count] : this->path) {
        joined += AK::concat(joined.empty() ? "" : " ", chosen, "/", count);
    }
    return joined;
}

ExploredCase::ExploredCase(Choices &choices, ExplorerBounds bounds, StoreDefects defects, AK::Milliseconds window)
    : choices(choices)
    , remaining(bounds)
    , window(window)
{
    this->store.defects = defects;
}

std::string ExploredCase::run(ExplorerReport &report)
{
    LibMetrics::MetricRegistry metrics;
    LibSettings::ProcessSettings settings;
    settings.entry.claimDispatchWindowMs = this->window;
    LibOnce::ClaimRunner first(settings, this->clock, this->store, metrics);
    LibOnce::ClaimRunner second(settings, this->clock, this->store, metrics);
    const LibOnce::OnceRequest request{"account", "orders", "POST", "/confirm", "key", "body"};
    const auto sendRequest = [&](LibOnce::ClaimRunner &runner, int number) {
        const auto result = runner.run(request, [&, number](const std::string &, AK::Milliseconds startBefore) { return this->dispatch(number, startBefore); });
        this->callerResults[number] = {result.outcome, result.response.body};
    };
    this->addFiber(0, [&] { sendRequest(first, 0); });
    this->addFiber(1, [&] {
        sendRequest(second, 1);
        sendRequest(second, 2);
    });
    this->addFiber(0, [&] { first.recordPending(true); });
    this->addFiber(1, [&] {
        second.recordPending(true);
        second.removeExpired("");
    });
    this->store.beforeCall = [this](bool write) {
        return this->chooseStoreFault(write);
    };
    this->store.afterCall = [this] {
        this->yield();
    };
    this->schedule();
    this->store.beforeCall = nullptr;
    this->store.afterCall = nullptr;
    for (const auto &lateRequest : std::exchange(this->store.lateRequests, {})) {
        lateRequest();
    }
    // A final repeated request without faults, to a process that has not crashed, must not run the call again either.
    this->remaining = {0, 0};
    LibOnce::ClaimRunner third(settings, this->clock, this->store, metrics);
    sendRequest(third, 3);
    return this->check(report);
}

void ExploredCase::enter()
{
    Fiber *fiber = runningCase->fibers[runningCase->current].get();
    try {
        fiber->body();
    } catch (const Crashed &) {
    }
    fiber->finished = true;
    swapcontext(&fiber->context, &runningCase->main);
}

void ExploredCase::addFiber(int process, std::function<void()> body)
{
    auto &stack = stacks()[this->fibers.size()];
    stack.resize(stackBytes);
    auto fiber = std::make_unique<Fiber>();
    fiber->process = process;
    fiber->body = std::move(body);
    getcontext(&fiber->context);
    fiber->context.uc_stack.ss_sp = stack.data();
    fiber->context.uc_stack.ss_size = stack.size();
    makecontext(&fiber->context, &ExploredCase::enter, 0);
    this->fibers.push_back(std::move(fiber));
}

void ExploredCase::resume(size_t next)
{
    this->current = next;
    runningCase = this;
    swapcontext(&this->main, &this->fibers[next]->context);
}

// Choice 0 continues the current fiber while it runs. The others switch to another fiber, apply a late request or, as a fault, advance the clock past the
// dispatch window or past the expiry of the claims.
void ExploredCase::schedule()
{
    while (true) {
        std::vector<size_t> runnable;
        const bool currentRuns = !this->fibers[this->current]->finished;
        if (currentRuns) {
            runnable.push_back(this->current);
        }
        for (size_t index = 0; index < this->fibers.size(); ++index) {
            const bool switchAllowed = !currentRuns || this->remaining.preemptions > 0;
            if (index != this->current && switchAllowed && !this->fibers[index]->finished) {
                runnable.push_back(index);
            }
        }
        if (runnable.empty()) {
            return;
        }
        const int fibersCount = static_cast<int>(runnable.size());
        const int lateCount = static_cast<int>(this->store.lateRequests.size());
        const int choice = this->choices.choose(fibersCount + lateCount + (this->remaining.faults > 0 ? 2 : 0));
        if (choice < fibersCount) {
            this->remaining.preemptions -= currentRuns && choice > 0 ? 1 : 0;
            this->resume(runnable[static_cast<size_t>(choice)]);
        } else if (choice < fibersCount + lateCount) {
            const auto lateRequest = this->store.lateRequests[static_cast<size_t>(choice - fibersCount)];
            this->store.lateRequests.erase(this->store.lateRequests.begin() + (choice - fibersCount));
            lateRequest();
        } else {
            --this->remaining.faults;
            const bool expiry = choice == fibersCount + lateCount + 1;
            this->clock.time += expiry ? expiryMs : pauseMs;
            this->lifetime += expiry ? 1 : 0;
        }
    }
}

void ExploredCase::yield()
{
    Fiber &fiber = *this->fibers[this->current];
    if (fiber.finished) {
        return; // The final request runs outside the scheduler.
    }
    swapcontext(&fiber.context, &this->main);
    if (this->crashed.contains(fiber.process)) {
        throw Crashed();
    }
}

// Sets `choice` to one of `count` faults, or to 0 for none. Fault number `count` crashes the process. Returns whether a fault was chosen.
bool ExploredCase::chooseFault(int count, int &choice)
{
    choice = this->remaining.faults > 0 ? this->choices.choose(count + 1) : 0;
    this->remaining.faults -= choice > 0 ? 1 : 0;
    if (choice == count) {
        this->crashed.insert(this->fibers[this->current]->process);
        throw Crashed();
    }
    return choice > 0;
}

StoreFault ExploredCase::chooseStoreFault(bool write)
{
    this->yield();
    int choice = 0;
    if (!write) {
        return this->chooseFault(3, choice) ? std::array{StoreFault::Unavailable, StoreFault::Stale}[static_cast<size_t>(choice - 1)] : StoreFault::None;
    }
    const std::array faults{StoreFault::Unavailable, StoreFault::ResponseLost, StoreFault::RequestLost, StoreFault::RequestLate};
    return this->chooseFault(5, choice) ? faults[static_cast<size_t>(choice - 1)] : StoreFault::None;
}

DispatchResult ExploredCase::dispatch(int request, AK::Milliseconds startBefore)
{
    this->yield();
    int choice = 0;
    this->chooseFault(5, choice);
    if (this->clock.now() >= startBefore || choice == 1) {
        return {Outcome::NotRun, {}, "refused"};
    }
    if (choice == 2) {
        return {Outcome::Unknown, {}, "connection lost before the call ran"};
    }
    if (choice == 4) {
        // The call reaches the upstream after its connection was closed, but within this lifetime of the key.
        this->store.lateRequests.emplace_back([this, request, started = this->lifetime] {
            if (this->lifetime == started) {
                this->execute(request);
            }
        });
        return {Outcome::Unknown, {}, "connection lost while the call was in transit"};
    }
    this->execute(request);
    this->yield();
    if (choice == 3) {
        return {Outcome::Unknown, {}, "connection lost after the call ran"};
    }
    return {Outcome::Done, {200, {}, AK::concat("answer ", request)}, ""};
}

void ExploredCase::execute(int request)
{
    this->executions.emplace_back(this->lifetime, request);
}

std::string ExploredCase::check(ExplorerReport &report) const
{
    std::set<int> lifetimes;
    std::set<int> ran;
    for (const auto &[inLifetime, request] : this->executions) {
        ran.insert(request);
        if (!lifetimes.insert(inLifetime).second) {
            return "executed twice";
        }
    }
    for (size_t request = 0; request < this->callerResults.size(); ++request) {
        const auto &result = this->callerResults[request];
        if (!result) {
            continue;
        }
        report.done += result->outcome == Outcome::Done ? 1 : 0;
        report.notRun += result->outcome == Outcome::NotRun ? 1 : 0;
        report.unknown += result->outcome == Outcome::Unknown ? 1 : 0;
        if (result->outcome == Outcome::NotRun && ran.contains(static_cast<int>(request))) {
            return AK::concat("request ", request, " got not_run but ran");
        }
        bool valid = result->outcome != Outcome::Done;
        for (const int executed : ran) {
            valid = valid || result->body == AK::concat("answer ", executed);
        }
        if (!valid) {
            return AK::concat("request ", request, " got done with a response that no upstream sent");
        }
    }
    return "";
}

namespace
{

// A defect can cause thousands of violations; the first ones are enough to reproduce it.
constexpr long maxPrintedViolations = 20;

} // namespace

ExplorerReport explore(ExplorerBounds bounds, StoreDefects defects, AK::Milliseconds window, bool stopAtViolation)
{
    ExplorerReport report;
    Choices choices;
    do {
        const std::string violation = ExploredCase(choices, bounds, defects, window).run(report);
        ++report.cases;
        if (!violation.empty()) {
            const std::string found = AK::concat(violation, " after choices ", choices.text());
            if (report.violations++ == 0) {
                report.firstViolation = found;
            }
            // Printed immediately, because a deep exploration may be stopped before its report.
            if (!stopAtViolation && report.violations <= maxPrintedViolations) {
                std::cout << "case " << report.cases + 1 << ": " << found << std::endl;
            }
        }
        if (report.violations > 0 && stopAtViolation) {
            break;
        }
    } while (choices.next());
    return report;
}
