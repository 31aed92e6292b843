#pragma once

#include "GatewaySite.h"

#include <AK/Text.h>
#include <array>

/// The first upstream says that it is leaving in all responses from a given one on; the second one never does.
struct LeavingSite {
    static constexpr AK::Milliseconds callTimeout = 1'500;
    static constexpr AK::Milliseconds pollInterval = 10;
    static constexpr AK::Milliseconds eventInterval = 60;
    static constexpr int eventsOfStream = 8;
    static constexpr int64_t firstStart = 1'000;
    /// Requests written before the response is read may still arrive.
    static constexpr AK::Milliseconds inFlightTime = 100;

    struct Response {
        int status = 200;
        LibHttpStream::Headers more;
        /// The response is a stream that goes on for long after its head.
        bool stream = false;
        AK::Milliseconds duration = 0;
    };

    /// `limits`: calls per second that each of the two upstreams names in all its responses, 0 for none.
    LeavingSite(Response response, LibFleet::RouteKind kind, size_t leavesAt = 1, std::array<double, 2> limits = {})
        : response(std::move(response))
        , leavesAt(leavesAt)
        , limits(limits)
        , site({this->script(true), this->script(false)})
    {
        this->site.configure(kind, true, 2, callTimeout);
        this->changeUpstream([](auto &record) { record.startTime = firstStart; });
    }

    UpstreamScript script(bool leaving)
    {
        return [this, leaving](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
            const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
            this->runningAtLeaving += leaving ? 1 : 0;
            this->site.loop.sleep(scope, this->response.duration);
            this->runningAtLeaving -= leaving ? 1 : 0;
            const double limit = this->limits[leaving ? 0 : 1];
            const LibHttpStream::Headers usual = limit > 0 ? LibHttpStream::Headers{{"Server-Limit", AK::concat(limit)}} : LibHttpStream::Headers();
            if (leaving && ++this->responses >= this->leavesAt) {
                this->leftAt = this->leftAt == 0 ? this->site.loop.clock().now() : this->leftAt;
                LibHttpStream::Headers headers = usual;
                headers.insert(headers.end(), this->response.more.begin(), this->response.more.end());
                headers.push_back({"Server-Leaving", "1"});
                return this->response.stream ? this->writeSlowStream(scope, channel, id) : this->write(scope, channel, id, this->response.status, headers);
            }
            return this->write(scope, channel, id, 200, usual);
        };
    }

    bool write(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &id, int status, LibHttpStream::Headers headers)
    {
        const bool events = this->site.fleet.configuration()->routes[0].kind == LibFleet::RouteKind::Stream && status == 200;
        const std::string body = events ? "id: 1\ndata: word\n\n" : "hello";
        if (events) {
            headers.push_back({"Content-Type", "text/event-stream"});
        }
        writeResponse(scope, channel, this->site.loop, id, status, body, body.size(), headers);
        return true;
    }

    bool writeSlowStream(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &id)
    {
        const std::string event = "id: 1\ndata: word\n\n";
        writeResponse(scope, channel, this->site.loop, id, 200, event, event.size() * eventsOfStream,
                      {{"Content-Type", "text/event-stream"}, {"Server-Leaving", "1"}});
        for (int i = 1; i < eventsOfStream; ++i) {
            this->site.loop.sleep(scope, eventInterval);
            if (!channel.write(scope, event, this->site.loop.clock().now() + callTimeout).ok()) {
                return false;
            }
        }
        return true;
    }

    void changeUpstream(const std::function<void(LibFleet::UpstreamRecord &)> &change)
    {
        std::map<std::string, LibFleet::UpstreamRecord> records;
        for (const auto &[id, record] : this->site.fleet.upstreams()) {
            LibFleet::UpstreamRecord changed = record;
            if (record.address == this->site.upstreamAddresses[0]) {
                change(changed);
            }
            records[changed.id] = changed;
        }
        this->site.fleet.setUpstreams(records);
    }

    void startCall()
    {
        this->site.loop.spawn([this, id = AK::concat("a", ++this->calls)](kj::WaitScope &scope) {
            const ClientResponse answer = this->site.callFrom(scope, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
            this->served += answer.status == 200 && answer.complete ? 1 : 0;
            ++this->ended;
        });
    }

    void wait(const std::function<bool()> &done)
    {
        const AK::Milliseconds deadline = this->site.loop.clock().now() + 2 * callTimeout;
        while (!done() && this->site.loop.clock().now() < deadline) {
            this->site.loop.sleep(this->site.loop.rootScope(), pollInterval);
        }
    }

    /// Whether the entry knows of the notice and the upstream has responded to all requests that were on their way then. To be asked each `pollInterval` or so,
    /// in which a request that has been written arrives.
    bool isQuiet()
    {
        this->site.dispatcher.exportMetrics(this->site.metrics);
        const bool known = this->site.metrics.text().find("catkinlink_upstreams_hindered{reason=\"leaving\"} 1") != std::string::npos;
        this->quietLooks = known && this->runningAtLeaving == 0 ? this->quietLooks + 1 : 0;
        return this->quietLooks > 1;
    }

    void callUntilLeaving()
    {
        while (this->leftAt == 0) {
            const int before = this->ended;
            this->startCall();
            this->wait([&] { return this->ended > before || this->leftAt > 0; });
        }
        this->site.loop.sleep(this->site.loop.rootScope(), inFlightTime);
    }

    size_t requestsOfLeaving() const
    {
        return this->site.upstreams[0]->requests.size();
    }

    Response response;
    size_t leavesAt;
    std::array<double, 2> limits;
    size_t responses = 0;
    AK::Milliseconds leftAt = 0;
    int runningAtLeaving = 0;
    int quietLooks = 0;
    int calls = 0;
    int served = 0;
    int ended = 0;
    GatewaySite site;
};
