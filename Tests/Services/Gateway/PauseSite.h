#pragma once

#include "GatewaySite.h"

#include <AK/Text.h>

/// Upstreams that refuse calls with a pause.
struct PauseSite {
    static constexpr AK::Milliseconds callTimeout = 1'500;
    static constexpr AK::Milliseconds pollInterval = 10;
    /// Requests that are on their way when the upstream asks for a pause may arrive for this long.
    static constexpr AK::Milliseconds settleTime = 500;
    static constexpr size_t allowedInPause = 2;
    static constexpr AK::Milliseconds millisecondsPerSecond = 1'000;

    struct Refusal {
        AK::Milliseconds at = 0;
        AK::Milliseconds pause = 0;
    };

    /// `seconds`: value of the header, one per upstream; empty for an upstream that takes all calls.
    PauseSite(std::vector<std::string> seconds, LibFleet::RouteKind kind, bool notRun = true, AK::Milliseconds duration = 0)
        : seconds(std::move(seconds))
        , notRun(notRun)
        , duration(duration)
        , arrivals(this->seconds.size())
        , refusals(this->seconds.size())
        , site(this->scripts())
    {
        this->site.configure(kind, true, 2, callTimeout);
    }

    std::vector<UpstreamScript> scripts()
    {
        std::vector<UpstreamScript> result;
        for (size_t index = 0; index < this->seconds.size(); ++index) {
            result.push_back([this, index](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
                return this->answer(scope, channel, head, index);
            });
        }
        return result;
    }

    bool answer(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, size_t index)
    {
        this->arrivals[index].push_back(this->site.loop.clock().now());
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        this->site.loop.sleep(scope, this->duration);
        if (!this->seconds[index].empty() && this->refuses) {
            const std::string value = this->nextPause(index);
            this->refusals[index].push_back({this->site.loop.clock().now(), static_cast<AK::Milliseconds>(std::stod(value) * millisecondsPerSecond)});
            LibHttpStream::Headers headers{{"Retry-After", value}};
            if (this->notRun) {
                headers.push_back({"X-Not-Executed", "1"});
            }
            writeResponse(scope, channel, this->site.loop, id, 503, "", 0, headers);
            return true;
        }
        const bool events = this->site.fleet.configuration()->routes[0].kind == LibFleet::RouteKind::Stream;
        const std::string body = events ? "id: 1\ndata: word\n\n" : "hello";
        writeResponse(scope, channel, this->site.loop, id, 200, body, body.size(), {{"Content-Type", events ? "text/event-stream" : "text/plain"}});
        return true;
    }

    std::string nextPause(size_t index) const
    {
        const size_t count = this->refusals[index].size();
        return index == 0 && count < this->firstPauses.size() ? this->firstPauses[count] : this->seconds[index];
    }

    void startCalls(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->site.loop.spawn([this, id = AK::concat("a", ++this->calls)](kj::WaitScope &scope) {
                const ClientResponse response = this->site.callFrom(scope, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
                this->served += response.status == 200 && response.complete ? 1 : 0;
                ++this->ended;
            });
        }
    }

    void waitForAll()
    {
        const AK::Milliseconds deadline = this->site.loop.clock().now() + 2 * callTimeout;
        while (this->ended < this->calls && this->site.loop.clock().now() < deadline) {
            this->site.loop.sleep(this->site.loop.rootScope(), pollInterval);
        }
    }

    /// The most requests that reached the upstream within one of its pauses, from settleTime on.
    /// Starts calls for `span` ms, `atOnce` of them in the beginning, and waits for all.
    void callFor(AK::Milliseconds span, int atOnce)
    {
        const AK::Milliseconds until = this->site.loop.clock().now() + span;
        this->startCalls(atOnce);
        while (this->site.loop.clock().now() < until) {
            this->startCalls(1);
            this->site.loop.sleep(this->site.loop.rootScope(), 2 * pollInterval);
        }
        this->waitForAll();
    }

    /// Most requests that arrived between the time of grace after a refusal and the end of the pause that it asked for.
    size_t mostInPause(size_t index) const
    {
        size_t most = 0;
        for (const Refusal &refusal : this->refusals[index]) {
            const auto inside = std::count_if(this->arrivals[index].begin(), this->arrivals[index].end(), [&](AK::Milliseconds arrival) {
                return arrival >= refusal.at + settleTime && arrival < refusal.at + refusal.pause;
            });
            most = std::max(most, static_cast<size_t>(inside));
        }
        return most;
    }

    std::vector<std::string> seconds;
    bool notRun;
    AK::Milliseconds duration;
    bool refuses = true;
    std::vector<std::vector<AK::Milliseconds>> arrivals;
    std::vector<std::vector<Refusal>> refusals;
    /// Values of the header in the first refusals of the first upstream, before those of `seconds`.
    std::vector<std::string> firstPauses;
    int calls = 0;
    int served = 0;
    int ended = 0;
    GatewaySite site;
};
