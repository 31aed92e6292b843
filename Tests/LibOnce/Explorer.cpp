#include "Explorer.h"

#include <AK/Text.h>
#include <LibOnce/ClaimRunner.h>
#include <iostream>

namespace
{

using LibOnce::DispatchResult;
using LibOnce::Outcome;

// Thrown in a fiber of a crashed process to end it; no std::exception, so that no handler of the code under test takes it.
struct Crashed {
};

constexpr size_t stackBytes = 256 << 10;
constexpr size_t fiberLimit = 5;
constexpr AK::Milliseconds pauseMs = 2'001;
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

ExploredCase::ExploredCase(Choices &choices, ExplorerBounds bounds, StoreWeakness weakness, AK::Milliseconds window)
    : choices(choices)
    , left(bounds)
    , window(window)
{
    this->store.weakness = weakness;
}

std::string ExploredCase::run(ExplorerReport &report)
{
    LibMetrics::MetricRegistry metrics;
    LibSettings::ProcessSettings settings;
    settings.entry.claimDispatchWindowMs = this->window;
    LibOnce::ClaimRunner first(settings, this->clock, this->store, metrics);
    LibOnce::ClaimRunner second(settings, this->clock, this->store, metrics);
    const LibOnce::OnceRequest request{"account", "orders", "POST", "/confirm", "key", "body"};
    const auto ask = [&](LibOnce::ClaimRunner &runner, int number) {
        const auto result = runner.run(request, [&, number](const std::string &, AK::Milliseconds startBefore) { return this->dispatch(number, startBefore); });
        this->told[number] = {result.outcome, result.response.body};
    };
    this->addFiber(0, [&] { ask(first, 0); });
    this->addFiber(1, [&] {
        ask(second, 1);
        ask(second, 2);
    });
    this->addFiber(0, [&] { first.recordPending(true); });
    this->addFiber(1, [&] {
        second.recordPending(true);
        second.removeExpired("");
    });
    this->store.before = [this](bool write) {
        return this->decideStore(write);
    };
    this->store.after = [this] {
        this->yield();
    };
    this->schedule();
    this->store.before = nullptr;
    this->store.after = nullptr;
    for (const auto &landing : std::exchange(this->store.late, {})) {
        landing();
    }
    // A last repeat without faults at a process that has not crashed must not run the call again either.
    this->left = {0, 0};
    LibOnce::ClaimRunner third(settings, this->clock, this->store, metrics);
    ask(third, 3);
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

// Option 0 continues the current fiber; others switch, land a late request or, as a fault, pause everything.
void ExploredCase::schedule()
{
    while (true) {
        std::vector<size_t> runnable;
        const bool currentRuns = !this->fibers[this->current]->finished;
        if (currentRuns) {
            runnable.push_back(this->current);
        }
        for (size_t index = 0; index < this->fibers.size(); ++index) {
            const bool affordable = !currentRuns || this->left.preemptions > 0;
            if (index != this->current && affordable && !this->fibers[index]->finished) {
                runnable.push_back(index);
            }
        }
        if (runnable.empty()) {
            return;
        }
        const int fibersCount = static_cast<int>(runnable.size());
        const int lateCount = static_cast<int>(this->store.late.size());
        const int choice = this->choices.choose(fibersCount + lateCount + (this->left.faults > 0 ? 2 : 0));
        if (choice < fibersCount) {
            this->left.preemptions -= currentRuns && choice > 0 ? 1 : 0;
            this->resume(runnable[static_cast<size_t>(choice)]);
        } else if (choice < fibersCount + lateCount) {
            const auto landing = this->store.late[static_cast<size_t>(choice - fibersCount)];
            this->store.late.erase(this->store.late.begin() + (choice - fibersCount));
            landing();
        } else {
            --this->left.faults;
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
        return; // The last repeat runs outside the scheduler.
    }
    swapcontext(&fiber.context, &this->main);
    if (this->crashed.contains(fiber.process)) {
        throw Crashed();
    }
}

// Takes one of `count` faults, or 0 for none.
bool ExploredCase::spendFault(int count, int &choice)
{
    choice = this->left.faults > 0 ? this->choices.choose(count + 1) : 0;
    this->left.faults -= choice > 0 ? 1 : 0;
    if (choice == count) {
        this->crashed.insert(this->fibers[this->current]->process);
        throw Crashed();
    }
    return choice > 0;
}

StoreFault ExploredCase::decideStore(bool write)
{
    this->yield();
    int choice = 0;
    if (!write) {
        return this->spendFault(3, choice) ? std::array{StoreFault::Unavailable, StoreFault::Stale}[static_cast<size_t>(choice - 1)] : StoreFault::None;
    }
    const std::array faults{StoreFault::Unavailable, StoreFault::AnswerLost, StoreFault::RequestLost, StoreFault::RequestLate};
    return this->spendFault(5, choice) ? faults[static_cast<size_t>(choice - 1)] : StoreFault::None;
}

DispatchResult ExploredCase::dispatch(int request, AK::Milliseconds startBefore)
{
    this->yield();
    int choice = 0;
    this->spendFault(5, choice);
    if (this->clock.now() >= startBefore || choice == 1) {
        return {Outcome::NotRun, {}, "refused"};
    }
    if (choice == 2) {
        return {Outcome::Unknown, {}, "cut before the call ran"};
    }
    if (choice == 4) {
        // The call reaches the upstream after the connection was given up, but within this lifetime of the key.
        this->store.late.emplace_back([this, request, started = this->lifetime] {
            if (this->lifetime == started) {
                this->execute(request);
            }
        });
        return {Outcome::Unknown, {}, "cut with the call on its way"};
    }
    this->execute(request);
    this->yield();
    if (choice == 3) {
        return {Outcome::Unknown, {}, "cut after the call ran"};
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
    for (size_t request = 0; request < this->told.size(); ++request) {
        const auto &answer = this->told[request];
        if (!answer) {
            continue;
        }
        report.done += answer->outcome == Outcome::Done ? 1 : 0;
        report.notRun += answer->outcome == Outcome::NotRun ? 1 : 0;
        report.unknown += answer->outcome == Outcome::Unknown ? 1 : 0;
        if (answer->outcome == Outcome::NotRun && ran.contains(static_cast<int>(request))) {
            return AK::concat("request ", request, " was told not_run but ran");
        }
        bool known = answer->outcome != Outcome::Done;
        for (const int executed : ran) {
            known = known || answer->body == AK::concat("answer ", executed);
        }
        if (!known) {
            return AK::concat("request ", request, " was told done with an answer that no upstream gave");
        }
    }
    return "";
}

namespace
{

// A broken mechanism makes thousands of violations; the first ones are enough to replay.
constexpr long printedViolations = 20;

} // namespace

ExplorerReport explore(ExplorerBounds bounds, StoreWeakness weakness, AK::Milliseconds window, bool stopAtViolation)
{
    ExplorerReport report;
    Choices choices;
    do {
        const std::string violation = ExploredCase(choices, bounds, weakness, window).run(report);
        ++report.cases;
        if (!violation.empty()) {
            const std::string found = AK::concat(violation, " after choices ", choices.text());
            if (report.violations++ == 0) {
                report.firstViolation = found;
            }
            // At once, because a deep exploration may be ended before its report.
            if (!stopAtViolation && report.violations <= printedViolations) {
                std::cout << "case " << report.cases + 1 << ": " << found << std::endl;
            }
        }
        if (report.violations > 0 && stopAtViolation) {
            break;
        }
    } while (choices.next());
    return report;
}
