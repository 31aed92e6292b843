#pragma once

#include "History.h"
#include <AK/Random.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <Platform/FakeStore.h>
#include <Proxy/FaultProxy.h>
#include <list>
#include <set>

namespace Soak
{

/// What an upstream does with a call.
enum class UpstreamFault {
    None,
    /// No byte for a second or so; then it goes on.
    SilentThenOn,
    Hang,
    ResetBeforeWork,
    ResetAfterWork,
    /// 503, not run.
    Refuse,
    /// 503 for a call that has run, without the statement that it has not.
    RefuseUnproven,
    /// The refusal of an earlier call, then the response.
    RepeatRefusal,
    /// 200 without a receipt, as of another server at its address.
    NoReceipt,
    ShortBody,
    /// A second copy of the response behind it.
    StrayCopy,
    OddStatus,
    Error,
    /// A reset inside an event.
    BreakStream,
    /// An error, or a stream that begins anew, where a stream should be resumed.
    FailResumption,
};

struct UpstreamFaultRow {
    UpstreamFault fault;
    std::string_view name;
    /// A failure of the call is excused.
    bool trouble = true;
    /// Share of the draws, in relation to the other rows.
    int weight = 1;
};

inline constexpr std::array upstreamFaults{
    UpstreamFaultRow{UpstreamFault::None, "none", false, 0},
    UpstreamFaultRow{UpstreamFault::SilentThenOn, "silent_then_on", false, 3},
    UpstreamFaultRow{UpstreamFault::Hang, "hang"},
    UpstreamFaultRow{UpstreamFault::ResetBeforeWork, "reset_before_work"},
    UpstreamFaultRow{UpstreamFault::ResetAfterWork, "reset_after_work"},
    UpstreamFaultRow{UpstreamFault::Refuse, "refuse", false},
    UpstreamFaultRow{UpstreamFault::RefuseUnproven, "refuse_unproven"},
    UpstreamFaultRow{UpstreamFault::RepeatRefusal, "repeat_refusal", true, 2},
    UpstreamFaultRow{UpstreamFault::NoReceipt, "no_receipt"},
    UpstreamFaultRow{UpstreamFault::ShortBody, "short_body"},
    UpstreamFaultRow{UpstreamFault::StrayCopy, "stray_copy"},
    UpstreamFaultRow{UpstreamFault::OddStatus, "odd_status"},
    UpstreamFaultRow{UpstreamFault::Error, "error"},
    UpstreamFaultRow{UpstreamFault::BreakStream, "break_stream"},
    UpstreamFaultRow{UpstreamFault::FailResumption, "fail_resumption", true, 4},
};

/// An upstream behind a link with faults of its own. Each start is a new instance with a new id at the same address.
class Upstream
{
public:
    struct Place {
        std::string service;
        std::string zone;
        AK::Endpoint address;
        /// Where the upstream itself listens; `address` leads there.
        AK::Endpoint behindLink;
    };

    Upstream(LibFiber::Loop &loop, History &history, FakeStore &store, Place place, uint64_t seed);

    void start();
    /// Ends all connections; the registration lapses later.
    void crash();
    /// The next instance at this address is of the other plain service.
    void changeService();
    /// Registers as draining, or removes the registration, and ends after the time that it owes.
    void leave(bool removes);
    /// Says in its answers that it leaves, and registers as draining some time later.
    void announceLeaving();
    /// Answers 503 and asks for a pause, for `duration` ms.
    void pause(AK::Milliseconds duration);
    /// Calls suffer the fault until `until`, one in two.
    void setTrouble(UpstreamFault fault, AK::Milliseconds until);
    /// Adds a fault of the link for `duration` ms.
    void disturbLink(kj::WaitScope &scope, FaultMode mode, AK::Milliseconds duration);
    /// Writes the registration again when the store has lost it.
    void refreshRegistration();

    bool serving() const;
    bool leaving() const;
    const std::string &id() const;

private:
    static constexpr int slots = 8;

    struct Exchange {
        kj::WaitScope &scope;
        LibFiber::ByteChannel &channel;
        const LibHttpStream::RequestHead &head;
        Call &call;
        size_t arrivalIndex;
        UpstreamFault fault;

        Arrival &arrival() const;
    };

    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);
    bool handle(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &body);
    void checkRequest(const LibHttpStream::RequestHead &head, const std::string &body, const Call &call);
    bool run(const Exchange &exchange);
    bool respond(const Exchange &exchange);
    bool stream(const Exchange &exchange);
    bool answerError(const Exchange &exchange);
    void repeatRefusal(const Exchange &exchange);
    bool failEarly(const Exchange &exchange, bool &handled);
    bool refuse(const Exchange &exchange, LibHttpStream::Headers more, bool proven);
    bool write(const Exchange &exchange, const std::string &text);
    LibHttpStream::Headers answerHeaders(const Exchange &exchange) const;
    UpstreamFault drawFault(const LibHttpStream::RequestHead &head, const Call &call);
    std::string spec() const;
    void unregister();
    void endAfter(AK::Milliseconds delay);

    LibFiber::Loop &loop;
    History &history;
    FakeStore &store;
    Place place;
    AK::Random random;
    FaultProxy link;
    std::string instance;
    int starts = 0;
    int runs = 0;
    int running = 0;
    bool registered = false;
    bool draining = false;
    bool announces = false;
    AK::Milliseconds pausedUntil = 0;
    UpstreamFault troubleKind = UpstreamFault::None;
    AK::Milliseconds troubleUntil = 0;
    std::string lastRefusal;
    /// Names of instances whose registrations have been removed.
    std::set<std::string> gone;
    /// Calls at work, with the index of their arrival.
    std::set<std::pair<std::string, size_t>> atWork;
    kj::Promise<void> accepting = nullptr;
    std::list<kj::Promise<void>> connections;
    bool up = false;
};

} // namespace Soak
