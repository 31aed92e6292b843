#include "FaultPlan.h"

#include <AK/Text.h>
#include <algorithm>
#include <numeric>

namespace Soak
{

namespace
{

constexpr AK::Milliseconds stormTime = 5'000;
// Long enough for entries to be in touch again, and for the bounds of changes and departures to pass.
constexpr AK::Milliseconds calmTime = 14'000;
constexpr AK::Milliseconds firstCalmTime = 9'000;

// Specifications of entries by other writers; "@" stands for the address of a server that is no upstream.
std::vector<std::string> oddSpecs()
{
    constexpr size_t depth = 4'000;
    const std::string sound = R"("service":"plain-a","addr":"@","zone":"lima-1","version":"v","slots":8,"state":"ready","coldLeftMs":0)";
    return {
        AK::concat("{", sound, R"(,"seq":1,"more":)", std::string(depth, '['), std::string(depth, ']'), "}"),
        R"({"service":"plain-a","addr":"@","zone":"lima-1","slots":8,"state":"ready"})",
        R"({"service":"plain-a","addr":"@","zone":"lima-1","version":"v","slots":1e999,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"plain-a","addr":"@","zone":"lima-1","version":"v","slots":-4,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"plain-a","addr":"@","zone":"lima-1","version":"v","slots":8,"state":"resting","coldLeftMs":0,"seq":1})",
        R"({"service":["plain-a"],"addr":"@","zone":"lima-1","version":"v","slots":8,"state":"ready","coldLeftMs":0,"seq":1})",
        AK::concat("{", sound, ",\"seq\":1,\"note\":\"caf\xe9\"}"),
        "[]",
        "null",
    };
}

} // namespace

FaultPlan::FaultPlan(LibFiber::Loop &loop, History &history, Site site, uint64_t seed)
    : loop(loop)
    , history(history)
    , site(std::move(site))
    , random(seed)
{
}

AK::Milliseconds FaultPlan::draw(AK::Milliseconds from, AK::Milliseconds range)
{
    return from + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, static_cast<uint64_t>(range)));
}

template <typename Rows, typename Weight>
const auto &FaultPlan::drawFrom(const Rows &rows, const Weight &weightOf)
{
    const int sum = std::accumulate(rows.begin(), rows.end(), 0, [&](int before, const auto &row) { return before + weightOf(row); });
    auto left = static_cast<int>(AK::uniformBelow(this->random, static_cast<uint64_t>(sum)));
    return *std::find_if(rows.begin(), rows.end(), [&](const auto &row) {
        left -= weightOf(row);
        return left < 0;
    });
}

const FaultRow &FaultPlan::drawRow(bool calm)
{
    return this->drawFrom(faultRows, [&](const FaultRow &row) {
        const bool leftOut = (calm && row.impairs) || this->site.without.contains(std::string(row.name));
        return leftOut ? 0 : row.weight;
    });
}

void FaultPlan::run(kj::WaitScope &scope, AK::Milliseconds until)
{
    const AK::Milliseconds start = this->loop.clock().now();
    while (this->loop.clock().now() < until) {
        const AK::Milliseconds passed = this->loop.clock().now() - start - firstCalmTime;
        const bool calm = passed < 0 || passed % (stormTime + calmTime) >= stormTime;
        const FaultRow &row = this->drawRow(calm);
        ++this->history.faults[std::string(row.name)];
        this->loop.spawn([this, kind = row.kind](kj::WaitScope &inner) { this->inject(inner, kind); });
        this->loop.sleep(scope, calm ? this->draw(200, 600) : this->draw(50, 350));
    }
}

void FaultPlan::inject(kj::WaitScope &scope, FaultKind kind)
{
    if (kind <= FaultKind::HangUpEntry) {
        this->injectAtEntry(scope, kind);
    } else if (kind <= FaultKind::OddConfiguration) {
        this->injectAtStore(scope, kind);
    } else if (kind <= FaultKind::UpstreamTrouble) {
        this->injectAtUpstream(scope, kind);
    } else if (kind == FaultKind::ChangeConfiguration) {
        this->site.administrator.change();
    } else {
        constexpr int changes = 12;
        for (int i = 0; i < changes; ++i) {
            this->site.administrator.change();
            this->loop.sleep(scope, this->draw(20, 150));
        }
    }
}

void FaultPlan::injectAtEntry(kj::WaitScope &scope, FaultKind kind)
{
    EntryFleet &entries = this->site.entries;
    const size_t index = AK::uniformBelow(this->random, entries.size());
    switch (kind) {
    case FaultKind::KillManyEntries:
        for (size_t i = 0; i < entries.size(); ++i) {
            if (AK::uniformBelow(this->random, 2) == 0) {
                this->loop.spawn([&entries, i, down = this->draw(100, 1'000)](kj::WaitScope &inner) { entries.kill(inner, i, down); });
            }
        }
        return;
    case FaultKind::TerminateEntry:
        // Planned stops take one entry after the other.
        if (this->terminating == 0) {
            ++this->terminating;
            entries.terminate(scope, index);
            --this->terminating;
        }
        return;
    case FaultKind::TerminateThenKill: {
        this->loop.spawn([&entries, index](kj::WaitScope &inner) { entries.terminate(inner, index); });
        this->loop.sleep(scope, this->draw(20, 3'000));
        entries.kill(scope, index, this->draw(0, 500));
        return;
    }
    case FaultKind::StopEntry:
        entries.stop(scope, index, this->draw(200, 3'500));
        return;
    case FaultKind::HangUpEntry:
        entries.reconfigure(index, static_cast<int>(AK::uniformBelow(this->random, 4)));
        return;
    default:
        entries.kill(scope, index, this->draw(50, 1'500));
    }
}

void FaultPlan::injectAtStore(kj::WaitScope &scope, FaultKind kind)
{
    FakeStore &store = this->site.store;
    switch (kind) {
    case FaultKind::StoreAwayForOne: {
        const size_t index = AK::uniformBelow(this->random, store.addressCount());
        if (this->storeAway) {
            return;
        }
        std::vector<Interval> &impaired = this->history.entries[index].impaired;
        const size_t interval = impaired.size();
        impaired.push_back({this->loop.clock().now()});
        store.setFault(index, storeFaultNames[1 + AK::uniformBelow(this->random, storeFaultNames.size() - 1)].value);
        this->loop.sleep(scope, this->draw(300, 3'000));
        store.setFault(index, StoreFault::None);
        impaired[interval].until = this->loop.clock().now();
        return;
    }
    case FaultKind::CutWatches: {
        constexpr std::array kinds{"servers", "config", "catkinlink-entries"};
        store.resetWatches(kinds[AK::uniformBelow(this->random, kinds.size())]);
        return;
    }
    case FaultKind::CutWatchesAgain: {
        const AK::Milliseconds end = this->loop.clock().now() + this->draw(2'000, 6'000);
        while (this->loop.clock().now() < end) {
            store.resetWatches("servers");
            this->loop.sleep(scope, this->draw(200, 1'900));
        }
        return;
    }
    case FaultKind::StoreConnectionsSilent: {
        // Counts as a reset of the channels of all entries.
        const AK::Milliseconds now = this->loop.clock().now();
        store.silenceConnections();
        this->history.impaired.push_back({now, now});
        return;
    }
    case FaultKind::ForgetHistory:
        store.forgetHistory();
        return;
    case FaultKind::OddEntries:
        this->writeOddEntries(scope);
        return;
    case FaultKind::OddConfiguration:
        this->writeOddConfiguration();
        return;
    default:
        this->takeStoreAway(scope, kind == FaultKind::StoreRestored);
    }
}

void FaultPlan::takeStoreAway(kj::WaitScope &scope, bool restore)
{
    if (this->storeAway) {
        return;
    }
    this->storeAway = true;
    FakeStore &store = this->site.store;
    const FakeStore::Copy copy = store.copy();
    if (restore) {
        this->loop.sleep(scope, this->draw(500, 3'000));
    }
    const size_t interval = this->history.impaired.size();
    this->history.impaired.push_back({this->loop.clock().now()});
    const StoreFault fault = restore ? StoreFault::Away : storeFaultNames[1 + AK::uniformBelow(this->random, storeFaultNames.size() - 1)].value;
    this->site.administrator.setStoreAway(true);
    for (size_t i = 0; i < store.addressCount(); ++i) {
        store.setFault(i, fault);
    }
    this->loop.sleep(scope, this->draw(300, 2'500));
    if (restore) {
        store.restore(copy);
    }
    for (size_t i = 0; i < store.addressCount(); ++i) {
        store.setFault(i, StoreFault::None);
    }
    this->storeAway = false;
    this->site.administrator.setStoreAway(false);
    // The operator and the upstreams write again what the copy lacks.
    this->loop.sleep(scope, this->draw(0, 1'000));
    this->site.administrator.repeat();
    for (const std::unique_ptr<Upstream> &upstream : this->site.upstreams) {
        upstream->refreshRegistration();
    }
    this->history.impaired[interval].until = this->loop.clock().now();
}

void FaultPlan::writeOddEntries(kj::WaitScope &scope)
{
    constexpr int count = 4;
    const std::vector<std::string> specs = oddSpecs();
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
        std::string spec = specs[AK::uniformBelow(this->random, specs.size())];
        if (const size_t at = spec.find('@'); at != std::string::npos) {
            spec.replace(at, 1, this->site.stranger.text());
        }
        names.push_back(AK::concat("\"odd-", ++this->oddEntries, "\""));
        this->site.store.put("servers", names.back(), spec);
    }
    this->loop.sleep(scope, this->draw(500, 8'000));
    for (const std::string &name : names) {
        if (this->site.store.find("servers", name)) {
            this->site.store.remove("servers", name);
        }
    }
}

void FaultPlan::writeOddConfiguration()
{
    // Other names of the kind are no configuration of the operator.
    const std::string spec = AK::concat(R"({"version":99999999,"routes":[],"services":)", std::string(4'000, '['), std::string(4'000, ']'), "}");
    this->site.store.put("config", "\"other\"", spec);
    this->site.store.remove("config", "\"other\"");
}

Upstream *FaultPlan::drawUpstream()
{
    return this->site.upstreams[AK::uniformBelow(this->random, this->site.upstreams.size())].get();
}

void FaultPlan::injectAtUpstream(kj::WaitScope &scope, FaultKind kind)
{
    Upstream &upstream = *this->drawUpstream();
    if (!upstream.serving()) {
        return;
    }
    switch (kind) {
    case FaultKind::LinkFault: {
        constexpr std::array modes{FaultMode::Delay, FaultMode::Cut, FaultMode::Stall, FaultMode::HalfOpen};
        upstream.disturbLink(scope, modes[AK::uniformBelow(this->random, modes.size())], this->draw(100, 2'500));
        return;
    }
    case FaultKind::UpstreamCrash:
        upstream.crash();
        if (AK::uniformBelow(this->random, 2) == 0) {
            this->loop.sleep(scope, this->draw(200, 1'500));
        } else {
            // An address may be given to another service, while the entry of the crashed instance has not lapsed yet.
            constexpr AK::Milliseconds reuseAfter = 2'000;
            this->loop.sleep(scope, reuseAfter + 100);
            upstream.changeService();
        }
        upstream.start();
        return;
    case FaultKind::UpstreamPauses:
        upstream.pause(this->draw(1'000, 3'000));
        return;
    case FaultKind::UpstreamAnnounces:
        upstream.announceLeaving();
        return;
    case FaultKind::UpstreamTrouble: {
        // Several at once, so that a call that is sent once more meets trouble again.
        const UpstreamFault fault = this->drawFrom(upstreamFaults, [](const UpstreamFaultRow &row) { return row.weight; }).fault;
        const AK::Milliseconds until = this->loop.clock().now() + this->draw(500, 4'000);
        upstream.setTrouble(fault, until);
        for (const std::unique_ptr<Upstream> &other : this->site.upstreams) {
            if (AK::uniformBelow(this->random, 2) == 0) {
                other->setTrouble(fault, until);
            }
        }
        return;
    }
    default:
        upstream.leave(kind == FaultKind::UpstreamRemoved);
    }
}

} // namespace Soak
