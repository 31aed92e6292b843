#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What clients, upstreams and the operator saw in a run. All times are of the monotonic clock of the soak.
namespace Soak
{

inline constexpr AK::Milliseconds never = std::numeric_limits<AK::Milliseconds>::max() / 2;

enum class CallKind { Safe, Unsafe, Stream, ResumableStream };

inline constexpr std::array callKindNames{
    AK::EnumName{CallKind::Safe, "safe"},
    AK::EnumName{CallKind::Unsafe, "unsafe"},
    AK::EnumName{CallKind::Stream, "stream"},
    AK::EnumName{CallKind::ResumableStream, "resumable_stream"},
};

constexpr bool isStream(CallKind kind)
{
    return kind == CallKind::Stream || kind == CallKind::ResumableStream;
}

/// A call that may run once at most.
constexpr bool runsOnce(CallKind kind)
{
    return kind == CallKind::Unsafe || kind == CallKind::Stream;
}

enum class CallEnd {
    /// The call is not over.
    Open,
    /// The request could not be written whole.
    NotSent,
    /// A response that is complete by its framing.
    Answered,
    /// The connection ended before a complete response.
    Broken,
    /// No complete response until some time after the client's deadline.
    Late,
    /// The client closed the connection by itself.
    Abandoned,
    /// Bytes that are no response.
    Garbled,
};

inline constexpr std::array callEndNames{
    AK::EnumName{CallEnd::Open, "open"},       AK::EnumName{CallEnd::NotSent, "not_sent"}, AK::EnumName{CallEnd::Answered, "answered"},
    AK::EnumName{CallEnd::Broken, "broken"},   AK::EnumName{CallEnd::Late, "late"},        AK::EnumName{CallEnd::Abandoned, "abandoned"},
    AK::EnumName{CallEnd::Garbled, "garbled"},
};

/// The arrival of a call at an upstream.
struct Arrival {
    std::string upstream;
    std::string service;
    AK::Milliseconds at = 0;
    /// The upstream began to work on it.
    bool ran = false;
    /// The upstream or its link did something that excuses a failure of the call.
    bool trouble = false;
    /// Status that the upstream gave; 0 when none.
    int status = 0;
    std::string receipt;
    /// Id of the first event, of a stream.
    int firstEvent = 1;
    /// The entry had closed the connection before, so that the request was held up on its way.
    bool heldUp = false;
    bool announcedLeaving = false;
    /// End of the pause that the answer asked for; 0 when it asked for none.
    AK::Milliseconds pausedFrom = 0;
    AK::Milliseconds pausedUntil = 0;
};

struct Call {
    std::string id;
    CallKind kind = CallKind::Safe;
    std::string prefix;
    size_t entry = 0;
    /// Start of the entry's process that took the call.
    int entryBoot = 0;
    /// Before the first byte and after the last byte was written.
    AK::Milliseconds startedAt = 0;
    AK::Milliseconds sentAt = 0;
    AK::Milliseconds endedAt = never;
    /// The time that the call may take, the shorter one of the client's and the route's.
    AK::Milliseconds limit = 0;
    CallEnd end = CallEnd::Open;
    int status = 0;
    std::string receipt;
    std::string echoedId;
    std::string body;
    std::string fault;
    std::vector<Arrival> arrivals;
};

struct Interval {
    AK::Milliseconds from = 0;
    AK::Milliseconds until = never;
};

/// True when one of the intervals has a moment in common with [from, until].
bool overlapsAny(const std::vector<Interval> &intervals, AK::Milliseconds from, AK::Milliseconds until);

/// What happened to one entry.
struct EntryHistory {
    /// Times in which the entry is not in touch: it was killed, stopped, starting or lost its store.
    std::vector<Interval> impaired;
    /// Times at which its open connections may have been lost: SIGKILL, or stopped.
    std::vector<Interval> cut;
    /// Unexpected ends of its process.
    std::vector<std::string> ends;
};

/// A version of the configuration.
struct ConfigurationVersion {
    int64_t version = 0;
    AK::Milliseconds acceptedAt = 0;
    /// Service by path prefix.
    std::map<std::string, std::string> services;
};

struct Bounds {
    AK::Milliseconds stableWindow = 3'000;
    AK::Milliseconds configurationApply = 2'000;
    AK::Milliseconds rollbackSlack = 250;
    AK::Milliseconds drain = 2'000;
    AK::Milliseconds lossSlack = 200;
    AK::Milliseconds grace = 8'000;
};

struct History {
    Bounds bounds;
    std::deque<Call> calls;
    std::unordered_map<std::string, size_t> callsById;
    std::vector<EntryHistory> entries;
    /// Times in which the store, for all entries, or this program was impaired.
    std::vector<Interval> impaired;
    std::vector<ConfigurationVersion> configurations;
    /// Time from which on an upstream must get no new calls, `drain` included, by its id.
    std::map<std::string, AK::Milliseconds> leftAt;
    /// Times in which links to an upstream were cut, silent or slow, by its id.
    std::map<std::string, std::vector<Interval>> linkFaults;
    /// Problems that were seen directly, such as bytes that belong to no request.
    std::vector<std::string> seen;
    /// Number of faults injected, by name.
    std::map<std::string, int> faults;

    Call *find(const std::string &id);
    /// No impairment of the entry or the store from `stableWindow` before `from` until `until`.
    bool inTouch(size_t entry, AK::Milliseconds from, AK::Milliseconds until) const;
    bool entryImpaired(size_t entry, AK::Milliseconds from, AK::Milliseconds until) const;
};

/// Body of a whole response: deterministic, so that a client can compare it.
std::string responseBody(const std::string &id, const std::string &receipt);

/// An event of a stream as the upstream writes it.
std::string eventText(const std::string &id, const std::string &receipt, int number);

/// Events of each stream.
inline constexpr int streamEvents = 16;

} // namespace Soak
