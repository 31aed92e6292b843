#include "Upstream.h"

#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace Soak
{

using LibHttpStream::findHeader;

namespace
{

constexpr AK::Milliseconds ioTimeout = 10'000;
constexpr AK::Milliseconds idleTimeout = 1'500;
// The registration of an upstream that says nothing is removed after three heartbeats.
constexpr AK::Milliseconds lapseTime = 3'600;
constexpr int queue = 4;

std::string jsonText(const std::string &text)
{
    return nlohmann::json(text).dump();
}

} // namespace

Arrival &Upstream::Exchange::arrival() const
{
    return this->call.arrivals[this->arrivalIndex];
}

Upstream::Upstream(LibFiber::Loop &loop, History &history, FakeStore &store, Place place, uint64_t seed)
    : loop(loop)
    , history(history)
    , store(store)
    , place(std::move(place))
    , random(seed)
    , link(this->place.address, this->place.behindLink, 0, loop.clock())
{
    KJ_ASSERT(this->link.start().ok());
}

void Upstream::start()
{
    auto receiver = LibFiber::listenOn(this->loop, this->place.behindLink);
    KJ_ASSERT(receiver.ok(), std::string(receiver.status().message()).c_str());
    this->instance = AK::concat("i-", this->place.address.host, "-", ++this->starts);
    this->draining = false;
    this->announces = false;
    this->pausedUntil = 0;
    this->running = 0;
    this->lastRefusal.clear();
    this->up = true;
    this->registered = true;
    this->store.put("servers", jsonText(this->instance), this->spec());
    this->accepting = this->loop
                          .fiber([this, listener = kj::mv(*receiver)](kj::WaitScope &scope) mutable {
                              while (true) {
                                  kj::Own<kj::AsyncIoStream> accepted = listener->accept().wait(scope);
                                  this->connections.push_back(
                                      this->loop.fiber([this, stream = kj::mv(accepted)](kj::WaitScope &inner) mutable { this->serve(inner, kj::mv(stream)); })
                                          .eagerlyEvaluate(nullptr));
                              }
                          })
                          .eagerlyEvaluate(nullptr);
}

void Upstream::crash()
{
    this->up = false;
    for (const auto &[id, index] : this->atWork) {
        this->history.find(id)->arrivals[index].trouble = true;
    }
    this->history.linkFaults[this->instance].push_back({this->loop.clock().now()});
    this->accepting = nullptr;
    this->connections.clear();
    this->atWork.clear();
    this->loop.spawn([this, gone = this->instance](kj::WaitScope &scope) {
        this->loop.sleep(scope, lapseTime);
        this->gone.insert(jsonText(gone));
        this->refreshRegistration();
    });
}

void Upstream::changeService()
{
    const bool plain = this->place.service != "streams";
    this->place.service = !plain ? "streams" : this->place.service == "plain-a" ? "plain-b" : "plain-a";
}

void Upstream::leave(bool removes)
{
    if (removes) {
        this->unregister();
    } else {
        this->draining = true;
        this->store.put("servers", jsonText(this->instance), this->spec());
    }
    this->history.leftAt.try_emplace(this->instance, this->loop.clock().now());
    this->endAfter(this->history.bounds.drain + 1'000 + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, 3'000)));
}

void Upstream::announceLeaving()
{
    constexpr AK::Milliseconds registersAfter = 5'000;
    this->announces = true;
    this->loop.spawn([this, announced = this->instance](kj::WaitScope &scope) {
        this->loop.sleep(scope, registersAfter);
        if (this->up && this->instance == announced && !this->draining) {
            this->leave(false);
        }
    });
}

void Upstream::endAfter(AK::Milliseconds delay)
{
    this->loop.spawn([this, delay, ending = this->instance](kj::WaitScope &scope) {
        this->loop.sleep(scope, delay);
        if (!this->up || this->instance != ending) {
            return;
        }
        this->unregister();
        // The work at hand is finished first.
        constexpr AK::Milliseconds longestWork = 4'000;
        this->loop.sleep(scope, this->atWork.empty() ? 0 : longestWork);
        if (!this->up || this->instance != ending) {
            return;
        }
        this->crash();
        this->loop.sleep(scope, 1'000);
        if (!this->up) {
            this->start();
        }
    });
}

void Upstream::unregister()
{
    this->registered = false;
    this->gone.insert(jsonText(this->instance));
    this->refreshRegistration();
}

void Upstream::pause(AK::Milliseconds duration)
{
    this->pausedUntil = this->loop.clock().now() + duration;
}

void Upstream::setTrouble(UpstreamFault fault, AK::Milliseconds until)
{
    this->troubleKind = fault;
    this->troubleUntil = until;
}

void Upstream::disturbLink(kj::WaitScope &scope, FaultMode mode, AK::Milliseconds duration)
{
    constexpr AK::Milliseconds linkDelay = 300;
    std::vector<Interval> &faults = this->history.linkFaults[this->instance];
    const size_t index = faults.size();
    faults.push_back({this->loop.clock().now()});
    this->link.setFault({mode, linkDelay, 0});
    this->loop.sleep(scope, duration);
    // Bytes that were discarded are missing in the connection from then on.
    if (mode == FaultMode::HalfOpen) {
        this->link.setFault({FaultMode::Cut, 0, 0});
    }
    this->link.setFault({FaultMode::Pass, 0, 0});
    faults[index].until = this->loop.clock().now() + linkDelay;
}

void Upstream::refreshRegistration()
{
    for (const std::string &name : this->gone) {
        if (this->store.find("servers", name)) {
            this->store.remove("servers", name);
        }
    }
    if (!this->up || !this->registered) {
        return;
    }
    const std::optional<std::string> known = this->store.find("servers", jsonText(this->instance));
    if (!known || known->find(this->spec()) == std::string::npos) {
        this->store.put("servers", jsonText(this->instance), this->spec());
    }
}

bool Upstream::serving() const
{
    return this->up && !this->draining && !this->announces && this->registered;
}

bool Upstream::leaving() const
{
    return this->draining || this->announces || !this->registered;
}

const std::string &Upstream::id() const
{
    return this->instance;
}

std::string Upstream::spec() const
{
    return nlohmann::json{{"service", this->place.service},
                          {"addr", this->place.address.text()},
                          {"zone", this->place.zone},
                          {"version", "v1"},
                          {"slots", slots},
                          {"state", this->draining ? "draining" : "ready"},
                          {"coldLeftMs", 0},
                          {"born", this->starts},
                          {"seq", 1}}
        .dump();
}

void Upstream::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream)
{
    LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
    while (true) {
        const auto text = LibHttpStream::readHeadText(channel, scope, 65'536, this->loop.clock().now() + idleTimeout);
        if (!text.ok()) {
            return;
        }
        const auto head = LibHttpStream::parseRequestHead(*text);
        if (!head.ok()) {
            this->history.seen.push_back(AK::concat("UNASKED: an upstream got bytes that are no request: ", head.status().message()));
            return;
        }
        LibHttpStream::BodyReader reader(channel, *LibHttpStream::requestBodyFraming(head->headers));
        const auto body = LibHttpStream::readBody(reader, scope, 1 << 20, this->loop.clock().now() + ioTimeout);
        if (!body.ok() || !this->handle(scope, channel, *head, *body)) {
            return;
        }
    }
}

void Upstream::checkRequest(const LibHttpStream::RequestHead &head, const std::string &body, const Call &call)
{
    const std::string *tenant = findHeader(head.headers, "X-Tenant");
    const std::string *time = findHeader(head.headers, "X-Deadline-Ms");
    const AK::Milliseconds left = time == nullptr ? never : AK::parseInteger(*time).value_or(never);
    constexpr AK::Milliseconds timeSlack = 500;
    const bool sound = head.method == "POST" && head.target == AK::concat(call.prefix, call.id) && body == AK::concat("ask ", call.id)
        && findHeader(head.headers, "X-Api-Key") == nullptr && tenant != nullptr && *tenant == "acc" && left <= call.limit + timeSlack;
    if (!sound) {
        this->history.seen.push_back(AK::concat("UNASKED: call ", call.id, " reached ", this->instance, " changed: ", head.method, " ", head.target, ", ",
                                                body.size(), " bytes, time left ", left));
    }
}

bool Upstream::handle(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &body)
{
    const std::string *id = findHeader(head.headers, "X-Attempt-Id");
    const std::string *expected = findHeader(head.headers, "X-Expect-Instance");
    if (expected != nullptr && *expected != this->instance) {
        const LibHttpStream::ResponseHead misdirected{
            421, "Misdirected Request", {{"X-Worker-Id", this->instance}, {"X-Attempt-Id", id ? *id : ""}, {"Content-Length", "0"}}};
        return channel.write(scope, LibHttpStream::serializeResponseHead(misdirected), this->loop.clock().now() + ioTimeout).ok();
    }
    Call *call = id == nullptr ? nullptr : this->history.find(*id);
    if (call == nullptr) {
        this->history.seen.push_back(AK::concat("UNASKED: a request without a known id reached ", this->instance));
        return false;
    }
    this->checkRequest(head, body, *call);
    Arrival arrival;
    arrival.upstream = this->instance;
    arrival.service = this->place.service;
    arrival.at = this->loop.clock().now();
    arrival.announcedLeaving = this->announces;
    (void)channel.fill(scope, this->loop.clock().now() + 1);
    arrival.heldUp = channel.ended();
    call->arrivals.push_back(arrival);
    const Exchange exchange{scope, channel, head, *call, call->arrivals.size() - 1, this->drawFault(head, *call)};
    for (const UpstreamFaultRow &row : upstreamFaults) {
        if (row.fault == exchange.fault && row.fault != UpstreamFault::None) {
            exchange.arrival().trouble = row.trouble;
            ++this->history.faults[AK::concat("upstream_", row.name)];
        }
    }
    const AK::Milliseconds now = this->loop.clock().now();
    if (now < this->pausedUntil) {
        constexpr AK::Milliseconds asked = 1'200;
        exchange.arrival().pausedFrom = now;
        exchange.arrival().pausedUntil = std::min(now + asked, this->pausedUntil);
        const double seconds = static_cast<double>(exchange.arrival().pausedUntil - now) / 1'000;
        return this->refuse(exchange, {{"Retry-After", std::to_string(seconds)}}, true);
    }
    const bool nothingToRepeat = exchange.fault == UpstreamFault::RepeatRefusal && this->lastRefusal.empty();
    if (this->running >= slots + queue || exchange.fault == UpstreamFault::Refuse || nothingToRepeat) {
        return this->refuse(exchange, {}, true);
    }
    const auto key = std::make_pair(call->id, exchange.arrivalIndex);
    this->atWork.insert(key);
    ++this->running;
    // Both are reset when the instance has crashed meanwhile.
    KJ_DEFER({
        if (this->atWork.erase(key) > 0) {
            --this->running;
        }
    });
    return this->run(exchange);
}

UpstreamFault Upstream::drawFault(const LibHttpStream::RequestHead &head, const Call &call)
{
    if (this->loop.clock().now() >= this->troubleUntil) {
        return UpstreamFault::None;
    }
    const bool resumed = findHeader(head.headers, "Last-Event-Id") != nullptr;
    if (resumed && this->troubleKind == UpstreamFault::SilentThenOn) {
        // Nobody takes over the stream of the silent upstream.
        return UpstreamFault::Refuse;
    }
    if (this->troubleKind == UpstreamFault::FailResumption) {
        // Streams break here too, so that there are some to resume.
        return resumed ? UpstreamFault::FailResumption : isStream(call.kind) ? UpstreamFault::BreakStream : UpstreamFault::None;
    }
    if (AK::uniformBelow(this->random, 2) == 0) {
        return UpstreamFault::None;
    }
    return this->troubleKind == UpstreamFault::BreakStream && !isStream(call.kind) ? UpstreamFault::None : this->troubleKind;
}

} // namespace Soak
