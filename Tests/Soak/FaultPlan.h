#pragma once

#include "EntryFleet.h"
#include "Operator.h"
#include "Upstream.h"
#include <memory>
#include <set>
#include <string>

namespace Soak
{

enum class FaultKind {
    KillEntry,
    KillManyEntries,
    TerminateEntry,
    TerminateThenKill,
    StopEntry,
    HangUpEntry,
    StoreAwayForOne,
    StoreAwayForAll,
    StoreRestored,
    StoreConnectionsSilent,
    CutWatches,
    CutWatchesAgain,
    ForgetHistory,
    OddEntries,
    OddConfiguration,
    LinkFault,
    UpstreamCrash,
    UpstreamLeaves,
    UpstreamRemoved,
    UpstreamAnnounces,
    UpstreamPauses,
    UpstreamTrouble,
    ChangeConfiguration,
    StormOfChanges,
};

struct FaultRow {
    FaultKind kind;
    std::string_view name;
    /// Share of the draws, in relation to the other rows.
    int weight = 1;
    /// Entries are not in touch meanwhile, so that it happens in storms only.
    bool impairs = false;
};

inline constexpr std::array faultRows{
    FaultRow{FaultKind::KillEntry, "kill_entry", 3, true},
    FaultRow{FaultKind::KillManyEntries, "kill_many_entries", 1, true},
    FaultRow{FaultKind::TerminateEntry, "terminate_entry", 3},
    FaultRow{FaultKind::TerminateThenKill, "terminate_then_kill", 1, true},
    FaultRow{FaultKind::StopEntry, "stop_entry", 4, true},
    FaultRow{FaultKind::HangUpEntry, "hang_up_entry", 4},
    FaultRow{FaultKind::StoreAwayForOne, "store_away_for_one", 3, true},
    FaultRow{FaultKind::StoreAwayForAll, "store_away_for_all", 2, true},
    FaultRow{FaultKind::StoreRestored, "store_restored", 3, true},
    FaultRow{FaultKind::StoreConnectionsSilent, "store_connections_silent", 1},
    FaultRow{FaultKind::CutWatches, "cut_watches", 4},
    FaultRow{FaultKind::CutWatchesAgain, "cut_watches_again", 3},
    FaultRow{FaultKind::ForgetHistory, "forget_history", 2},
    FaultRow{FaultKind::OddEntries, "odd_entries", 4},
    FaultRow{FaultKind::OddConfiguration, "odd_configuration", 1},
    FaultRow{FaultKind::LinkFault, "link_fault", 4, true},
    FaultRow{FaultKind::UpstreamCrash, "upstream_crash", 3},
    FaultRow{FaultKind::UpstreamLeaves, "upstream_leaves", 4},
    FaultRow{FaultKind::UpstreamRemoved, "upstream_removed", 4},
    FaultRow{FaultKind::UpstreamAnnounces, "upstream_announces", 3},
    FaultRow{FaultKind::UpstreamPauses, "upstream_pauses", 4},
    FaultRow{FaultKind::UpstreamTrouble, "upstream_trouble", 20},
    FaultRow{FaultKind::ChangeConfiguration, "change_configuration", 8},
    FaultRow{FaultKind::StormOfChanges, "storm_of_changes", 2},
};

/// Draws faults from a seed and injects them, in series that overlap: storms, in which anything happens, and calmer times, in which entries and the store
/// stay in touch, so that promises with a time bound hold.
class FaultPlan
{
public:
    struct Site {
        EntryFleet &entries;
        FakeStore &store;
        Operator &administrator;
        std::vector<std::unique_ptr<Upstream>> &upstreams;
        /// Address of a server that is no upstream.
        AK::Endpoint stranger;
        /// Names of faults that are not injected.
        std::set<std::string> without;
    };

    FaultPlan(LibFiber::Loop &loop, History &history, Site site, uint64_t seed);

    /// Injects faults until `until`; all have ended some seconds later, see settleTime.
    void run(kj::WaitScope &scope, AK::Milliseconds until);

    /// Longest time that a fault goes on, with what follows from it.
    static constexpr AK::Milliseconds settleTime = 10'000;

private:
    void inject(kj::WaitScope &scope, FaultKind kind);
    void injectAtEntry(kj::WaitScope &scope, FaultKind kind);
    void injectAtStore(kj::WaitScope &scope, FaultKind kind);
    void injectAtUpstream(kj::WaitScope &scope, FaultKind kind);
    void takeStoreAway(kj::WaitScope &scope, bool restore);
    void writeOddEntries(kj::WaitScope &scope);
    void writeOddConfiguration();
    const FaultRow &drawRow(bool calm);
    /// Draws a row by the weights of the rows.
    template <typename Rows, typename Weight>
    const auto &drawFrom(const Rows &rows, const Weight &weightOf);
    Upstream *drawUpstream();
    AK::Milliseconds draw(AK::Milliseconds from, AK::Milliseconds range);

    LibFiber::Loop &loop;
    History &history;
    Site site;
    AK::Random random;
    bool storeAway = false;
    int terminating = 0;
    int oddEntries = 0;
};

} // namespace Soak
