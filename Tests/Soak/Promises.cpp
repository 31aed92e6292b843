#include "Promises.h"

#include <AK/Text.h>
#include <algorithm>

namespace Soak
{

namespace
{

bool hadTrouble(const History &history, const Call &call)
{
    return std::any_of(call.arrivals.begin(), call.arrivals.end(), [&](const Arrival &arrival) {
        const auto faults = history.linkFaults.find(arrival.upstream);
        return arrival.trouble || (faults != history.linkFaults.end() && overlapsAny(faults->second, call.startedAt, call.endedAt));
    });
}

const Arrival *arrivalOf(const Call &call, const std::string &receipt)
{
    const auto found =
        std::find_if(call.arrivals.begin(), call.arrivals.end(), [&](const Arrival &arrival) { return !receipt.empty() && arrival.receipt == receipt; });
    return found == call.arrivals.end() ? nullptr : &*found;
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// The proper requests of the soak get none of these from an entry.
bool denies(int status)
{
    return status / 100 == 3 || (status / 100 == 4 && status != 404 && !promisesNotRun(status));
}

// Position of a stream's text in the events of its runs.
struct StreamPosition {
    size_t offset = 0;
    int events = 0;
    const Arrival *run = nullptr;
    std::string fault;
};

StreamPosition followStream(const Call &call)
{
    StreamPosition position;
    while (position.events < streamEvents) {
        const int number = position.events + 1;
        const Arrival *found = nullptr;
        for (const Arrival &arrival : call.arrivals) {
            const std::string event = arrival.receipt.empty() ? "" : eventText(call.id, arrival.receipt, number);
            if (!event.empty() && call.body.compare(position.offset, event.size(), event) == 0) {
                found = &arrival;
                position.offset += event.size();
                break;
            }
        }
        if (found == nullptr) {
            break;
        }
        const bool joins = position.run != nullptr && found != position.run;
        if (joins && (call.kind != CallKind::ResumableStream || found->firstEvent != number)) {
            position.fault = AK::concat("event ", number, " is of another run");
            break;
        }
        position.run = found;
        position.events = number;
    }
    return position;
}

// Whether the rest may be the beginning of the next event, in a stream that was broken off.
bool beginsEvent(const Call &call, const std::string &rest, int number)
{
    return std::any_of(call.arrivals.begin(), call.arrivals.end(),
                       [&](const Arrival &arrival) { return eventText(call.id, arrival.receipt, number).starts_with(rest); });
}

} // namespace

std::string describe(const Call &call)
{
    std::string text = AK::concat(AK::nameOf(callKindNames, call.kind), " ", call.prefix, call.id, " at entry-", call.entry + 1, " boot ", call.entryBoot,
                                  ", started ", call.startedAt, ", sent ", call.sentAt, ", ended ", call.endedAt, " ", AK::nameOf(callEndNames, call.end),
                                  ", status ", call.status, ", body ", call.body.size(), " bytes, ", call.fault, "; arrivals:");
    for (const Arrival &arrival : call.arrivals) {
        text += AK::concat(" [", arrival.at, " ", arrival.upstream, " of ", arrival.service, arrival.ran ? " ran" : " not run",
                           arrival.trouble ? " in trouble" : "", ", status ", arrival.status, ", first event ", arrival.firstEvent, "]");
    }
    return text;
}

void checkRuns(const History &history, std::vector<Finding> &findings)
{
    for (const Call &call : history.calls) {
        const auto runs = std::count_if(call.arrivals.begin(), call.arrivals.end(), [](const Arrival &arrival) { return arrival.ran; });
        if (runsOnce(call.kind) && runs > 1) {
            findings.push_back({"TWICE", describe(call)});
        }
        if (runsOnce(call.kind) && runs > 0 && promisesNotRun(call.status)) {
            findings.push_back({"REFUSED", describe(call)});
        }
        if (denies(call.status) && arrivalOf(call, call.receipt) == nullptr) {
            findings.push_back({"DENIED", describe(call)});
        }
    }
}

void checkResponses(const History &history, std::vector<Finding> &findings)
{
    for (const Call &call : history.calls) {
        if (call.end == CallEnd::Garbled) {
            findings.push_back({"MIXED", "bytes that are no response: " + describe(call)});
            continue;
        }
        const Arrival *run = arrivalOf(call, call.receipt);
        const bool success = call.status / 100 == 2;
        if (success && run == nullptr) {
            findings.push_back({"MIXED", "a success without the receipt of a run: " + describe(call)});
        } else if (run != nullptr && run->status != call.status) {
            findings.push_back({"MIXED", "another status than the upstream's: " + describe(call)});
        } else if (success && call.echoedId != call.id) {
            findings.push_back({"MIXED", "the response to another request: " + describe(call)});
        } else if (success && !isStream(call.kind) && call.end == CallEnd::Answered && call.body != responseBody(call.id, call.receipt)) {
            findings.push_back({"MIXED", "not the upstream's body: " + describe(call)});
        }
    }
}

void checkStreams(const History &history, std::vector<Finding> &findings)
{
    for (const Call &call : history.calls) {
        if (!isStream(call.kind) || call.status / 100 != 2) {
            continue;
        }
        const StreamPosition position = followStream(call);
        const std::string rest = call.body.substr(position.offset);
        if (!position.fault.empty()) {
            findings.push_back({"ORDER", position.fault + ": " + describe(call)});
        } else if (!rest.empty() && (call.end == CallEnd::Answered || !beginsEvent(call, rest, position.events + 1))) {
            findings.push_back({"ORDER", AK::concat("foreign bytes after event ", position.events, ": ", rest.substr(0, 60), ": ", describe(call))});
        } else if (call.end == CallEnd::Answered && position.events < streamEvents) {
            findings.push_back({"ORDER", AK::concat("complete after event ", position.events, ": ", describe(call))});
        }
    }
}

void checkLosses(const History &history, std::vector<Finding> &findings)
{
    // Entries end a call so long before its limit.
    constexpr AK::Milliseconds limitMargin = 200;
    for (const Call &call : history.calls) {
        if (history.entryImpaired(call.entry, call.startedAt, call.endedAt)) {
            continue;
        }
        if (call.end == CallEnd::Late) {
            findings.push_back({"CONFIG", "no final answer in time: " + describe(call)});
        }
        if (call.end != CallEnd::Broken || call.endedAt - call.startedAt >= call.limit - limitMargin) {
            continue;
        }
        const bool crossesClose = call.status == 0 && call.arrivals.empty() && call.endedAt - call.sentAt <= history.bounds.lossSlack;
        if (!crossesClose && !hadTrouble(history, call)) {
            findings.push_back({"LOST", describe(call)});
        }
    }
}

void checkLeavingUpstreams(const History &history, std::vector<Finding> &findings)
{
    // Time at which an answer with the upstream's announcement was passed on, by entry and upstream.
    std::map<std::pair<size_t, std::string>, AK::Milliseconds> announced;
    for (const Call &call : history.calls) {
        const Arrival *run = call.end == CallEnd::Answered ? arrivalOf(call, call.receipt) : nullptr;
        if (run != nullptr && run->announcedLeaving) {
            AK::Milliseconds &first = announced.try_emplace({call.entry, run->upstream}, never).first->second;
            first = std::min(first, call.endedAt);
        }
    }
    constexpr AK::Milliseconds ownSlack = 50;
    for (const Call &call : history.calls) {
        for (const Arrival &arrival : call.arrivals) {
            const auto left = history.leftAt.find(arrival.upstream);
            const auto faults = history.linkFaults.find(arrival.upstream);
            const bool heldUp =
                arrival.heldUp || (faults != history.linkFaults.end() && overlapsAny(faults->second, call.startedAt - history.bounds.stableWindow, arrival.at));
            const AK::Milliseconds bound = left == history.leftAt.end() ? never : left->second + history.bounds.drain + ownSlack;
            if (arrival.at > bound && !heldUp && history.inTouch(call.entry, left->second, arrival.at)) {
                findings.push_back({"DRAIN", AK::concat(arrival.at - left->second, " ms after ", arrival.upstream, " left: ", describe(call))});
            }
            const auto answer = announced.find({call.entry, arrival.upstream});
            if (answer != announced.end() && !arrival.heldUp && call.startedAt > answer->second + history.bounds.drain
                && !history.entryImpaired(call.entry, answer->second, arrival.at)
                && !overlapsAny(history.entries[call.entry].impaired, answer->second, arrival.at)) {
                findings.push_back({"DRAIN", AK::concat(call.startedAt - answer->second, " ms after an answer with Server-Leaving: ", describe(call))});
            }
        }
    }
}

void checkPauses(const History &history, std::vector<Finding> &findings)
{
    constexpr AK::Milliseconds noticeTime = 500;
    constexpr int allowed = 2;
    std::map<std::pair<size_t, std::string>, std::vector<const Arrival *>> arrivals;
    for (const Call &call : history.calls) {
        for (const Arrival &arrival : call.arrivals) {
            arrivals[{call.entry, arrival.upstream}].push_back(&arrival);
        }
    }
    for (const auto &[place, list] : arrivals) {
        for (const Arrival *pause : list) {
            if (pause->pausedUntil == 0 || overlapsAny(history.entries[place.first].impaired, pause->at, pause->pausedUntil)) {
                continue;
            }
            const auto faults = history.linkFaults.find(place.second);
            if (faults != history.linkFaults.end() && overlapsAny(faults->second, pause->at, pause->pausedUntil)) {
                continue;
            }
            const auto count = std::count_if(list.begin(), list.end(), [&](const Arrival *arrival) {
                return arrival->at > pause->pausedFrom + noticeTime && arrival->at < pause->pausedUntil;
            });
            if (count > allowed) {
                findings.push_back({"BUDGET",
                                    AK::concat(count, " calls from entry-", place.first + 1, " reached ", place.second, " in the pause from ",
                                               pause->pausedFrom, " to ", pause->pausedUntil)});
            }
        }
    }
}

void checkAbandonedCalls(const History &history, std::vector<Finding> &findings)
{
    constexpr AK::Milliseconds noticeTime = 500;
    constexpr size_t allowed = 3;
    std::vector<const Call *> gone;
    for (const Call &call : history.calls) {
        const bool late = std::any_of(call.arrivals.begin(), call.arrivals.end(),
                                      [&](const Arrival &arrival) { return !arrival.heldUp && arrival.at > call.endedAt + noticeTime; });
        if (call.end == CallEnd::Abandoned && late && history.inTouch(call.entry, call.startedAt, call.endedAt + noticeTime) && !hadTrouble(history, call)) {
            gone.push_back(&call);
        }
    }
    if (gone.size() > allowed) {
        for (const Call *call : gone) {
            findings.push_back({"GONE", describe(*call)});
        }
    }
}

void checkRecovery(const History &history, const SettledTime &settled, std::vector<Finding> &findings)
{
    constexpr int leastCalls = 20;
    int calls = 0;
    int served = 0;
    for (const Call &call : history.calls) {
        if (call.startedAt >= settled.from && call.endedAt <= settled.until && call.status != 404) {
            ++calls;
            served += call.end == CallEnd::Answered && call.status / 100 == 2 ? 1 : 0;
        }
    }
    if (calls < leastCalls || served * 4 < calls) {
        findings.push_back({"RECOVER", AK::concat(served, " of ", calls, " calls were served after all faults had ended")});
    }
}

std::vector<Finding> checkPromises(const History &history, const SettledTime &settled)
{
    std::vector<Finding> findings;
    checkRuns(history, findings);
    checkResponses(history, findings);
    checkStreams(history, findings);
    checkLosses(history, findings);
    checkConfigurations(history, findings);
    checkLeavingUpstreams(history, findings);
    checkPauses(history, findings);
    checkAbandonedCalls(history, findings);
    checkRecovery(history, settled, findings);
    for (const std::string &text : history.seen) {
        findings.push_back({text.substr(0, text.find(':')), text});
    }
    for (size_t i = 0; i < history.entries.size(); ++i) {
        for (const std::string &end : history.entries[i].ends) {
            findings.push_back({"END", AK::concat("entry-", i + 1, " ", end)});
        }
    }
    return findings;
}

} // namespace Soak
