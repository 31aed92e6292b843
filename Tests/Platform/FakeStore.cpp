#include "FakeStore.h"

#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageReader.h>
#include <LibJson/RawJson.h>
#include <Loopback/ProcessHost.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace
{

constexpr AK::Milliseconds testTimeout = 10'000;

uint16_t nextPort()
{
    static uint16_t port = 21'400;
    return ++port;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const size_t start = target.find(name + "=");
    if (start == std::string::npos) {
        return "";
    }
    const size_t valueStart = start + name.size() + 1;
    return target.substr(valueStart, target.find('&', valueStart) - valueStart);
}

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

FakeStore::FakeStore(LibFiber::Loop &loop)
    : FakeStore(loop, {{Loopback::processHost(), nextPort()}})
{
}

FakeStore::FakeStore(LibFiber::Loop &loop, std::vector<AK::Endpoint> endpoints)
    : loop(loop)
{
    for (AK::Endpoint &endpoint : endpoints) {
        this->addresses.push_back({std::move(endpoint)});
    }
    for (size_t i = 0; i < this->addresses.size(); ++i) {
        this->listen(i);
    }
}

FakeStore::~FakeStore() = default;

void FakeStore::listen(size_t index)
{
    auto listener = LibFiber::listenOn(this->loop, this->addresses[index].endpoint);
    KJ_ASSERT(listener.ok(), std::string(listener.status().message()).c_str());
    LibFiber::acceptEach(this->loop, kj::mv(*listener), [this, index](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        this->serve(scope, kj::mv(stream), this->addresses[index]);
    });
}

const AK::Endpoint &FakeStore::address() const
{
    return this->addresses.front().endpoint;
}

const AK::Endpoint &FakeStore::address(size_t index) const
{
    return this->addresses[index].endpoint;
}

size_t FakeStore::addressCount() const
{
    return this->addresses.size();
}

void FakeStore::setFault(size_t index, StoreFault fault)
{
    this->addresses[index].fault = fault;
    ++this->addresses[index].faultNumber;
}

void FakeStore::resetWatches(const std::string &kind)
{
    ++this->watchResets[kind];
}

void FakeStore::silenceConnections()
{
    ++this->connectionAge;
}

void FakeStore::cutWatches(ChannelEnd end)
{
    this->channelEnd = end;
    ++this->cuts;
}

void FakeStore::goAway()
{
    this->away = true;
}

void FakeStore::comeBack(ChannelEnd end)
{
    this->cutWatches(end);
    this->away = false;
}

void FakeStore::awaitReturn(kj::WaitScope &scope)
{
    while (this->away) {
        this->loop.sleep(scope, 2);
    }
}

void FakeStore::forgetHistory()
{
    this->forgottenUpTo = this->content.revision;
}

FakeStore::Copy FakeStore::copy() const
{
    return this->content;
}

void FakeStore::restore(const Copy &older)
{
    this->content = older;
    this->forgottenUpTo = 0;
    ++this->era;
}

void FakeStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::string object =
        AK::concat(R"({"metadata":{"name":)", name, R"(,"revision":)", this->content.revision + 1, R"(},"spec":)", spec, R"(,"status":null})");
    this->content.objects[kind][name] = object;
    this->change(kind, object, false);
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    const std::string object = this->content.objects[kind][name];
    this->content.objects[kind].erase(name);
    this->change(kind, object, true);
}

std::optional<std::string> FakeStore::find(const std::string &kind, const std::string &name) const
{
    const auto objects = this->content.objects.find(kind);
    if (objects == this->content.objects.end() || !objects->second.contains(name)) {
        return std::nullopt;
    }
    return objects->second.at(name);
}

std::vector<std::string> FakeStore::names(const std::string &kind) const
{
    std::vector<std::string> names;
    if (const auto objects = this->content.objects.find(kind); objects != this->content.objects.end()) {
        for (const auto &[name, object] : objects->second) {
            names.push_back(name);
        }
    }
    return names;
}

void FakeStore::putRaw(const std::string &kind, const std::string &text)
{
    this->content.objects[kind][text] = text;
    this->content.changes.push_back({++this->content.revision, kind, text});
}

void FakeStore::change(const std::string &kind, const std::string &object, bool deleted)
{
    this->content.changes.push_back({++this->content.revision, kind, AK::concat(R"({"object":)", object, R"(,"deleted":)", deleted ? "true" : "false", "}")});
}

std::string FakeStore::listAnswer(const std::string &kind, const std::string &after)
{
    ++this->lists;
    std::string items;
    size_t count = 0;
    bool truncated = false;
    for (const auto &[name, object] : this->content.objects[kind]) {
        // What is no object has no name and comes after the others.
        if (const auto decoded = LibJson::decodeText(name); decoded && *decoded <= after) {
            continue;
        }
        truncated = count == this->pageSize;
        if (truncated) {
            break;
        }
        items += AK::concat(count > 0 ? "," : "", object);
        ++count;
    }
    return AK::concat(R"({"items":[)", items, R"(],"truncated":)", truncated ? "true" : "false", R"(,"currentRev":)", this->content.revision, "}");
}

std::optional<FakeStore::Answer> FakeStore::watchAnswer(kj::WaitScope &scope, const std::string &kind, int64_t since, AK::Milliseconds wait)
{
    const AK::Milliseconds until = this->loop.clock().now() + wait;
    const int resets = this->watchResets[kind];
    const int64_t eraAtStart = this->era;
    const int cutsBefore = this->cuts;
    while (true) {
        this->awaitReturn(scope);
        if (resets != this->watchResets[kind] || eraAtStart != this->era || cutsBefore != this->cuts) {
            return std::nullopt;
        }
        if (since > this->content.revision || since < this->forgottenUpTo) {
            return Answer{410, "{}"};
        }
        std::vector<const std::string *> found;
        for (auto it = this->content.changes.rbegin(); it != this->content.changes.rend() && it->revision > since; ++it) {
            if (it->kind == kind) {
                found.push_back(&it->text);
            }
        }
        if (!found.empty() || this->loop.clock().now() >= until) {
            std::string events;
            for (auto it = found.rbegin(); it != found.rend(); ++it) {
                events += AK::concat(events.empty() ? "" : ",", **it);
            }
            return Answer{200, AK::concat(R"({"events":[)", events, R"(],"currentRev":)", this->content.revision, "}")};
        }
        this->loop.sleep(scope, 2);
    }
}

FakeStore::Answer FakeStore::write(const std::string &method, const std::string &kind, const std::string &name, const std::string &body)
{
    auto &known = this->content.objects[kind];
    if (method == "DELETE") {
        const std::string key = nlohmann::json(name).dump();
        if (!known.contains(key)) {
            return {404, "{}"};
        }
        this->remove(kind, key);
        return {200, "{}"};
    }
    const nlohmann::json object = nlohmann::json::parse(body);
    const std::string key = object["metadata"]["name"].dump();
    const auto found = known.find(key);
    if (method == "POST" && found != known.end()) {
        return {409, found->second};
    }
    if (method == "PUT" && found == known.end()) {
        return {404, "{}"};
    }
    const std::string spec = object["spec"].dump();
    if (found == known.end() || found->second.find(AK::concat(R"("spec":)", spec, ",")) == std::string::npos) {
        this->put(kind, key, spec);
    }
    return {method == "POST" ? 201 : 200, known[key]};
}

std::optional<FakeStore::Answer> FakeStore::answer(kj::WaitScope &scope, const LibHttpStream::RequestHead &head, const std::string &body)
{
    static constexpr std::string_view listPath = "/v1/objects/";
    const int cutsBefore = this->cuts;
    this->awaitReturn(scope);
    if (this->cuts != cutsBefore) {
        return std::nullopt;
    }
    const std::string path = head.target.substr(0, head.target.find('?'));
    KJ_ASSERT(path.starts_with(listPath));
    const std::string rest = path.substr(listPath.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    if (head.method != "GET") {
        return this->write(head.method, kind, kind.size() < rest.size() ? percentDecode(rest.substr(kind.size() + 1)) : "", body);
    }
    const std::string since = queryValue(head.target, "watch");
    if (since.empty()) {
        return Answer{200, this->listAnswer(kind, percentDecode(queryValue(head.target, "afterRev")))};
    }
    return this->watchAnswer(scope, kind, AK::parseInteger(since).value_or(0), AK::parseInteger(queryValue(head.target, "waitMs")).value_or(0));
}

void FakeStore::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream, Address &address)
{
    constexpr AK::Milliseconds slowness = 600;
    LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
    const int age = this->connectionAge;
    while (true) {
        const auto text = LibHttpStream::readHeadText(channel, scope, 65'536, this->loop.clock().now() + testTimeout);
        if (!text.ok()) {
            return;
        }
        const auto head = LibHttpStream::parseRequestHead(*text);
        KJ_ASSERT(head.ok());
        LibHttpStream::BodyReader reader(channel, *LibHttpStream::requestBodyFraming(head->headers));
        const auto body = LibHttpStream::readBody(reader, scope, 1 << 20, this->loop.clock().now() + testTimeout);
        if (!body.ok()) {
            return;
        }
        const int faultNumber = address.faultNumber;
        auto result = address.fault == StoreFault::None || address.fault == StoreFault::Slow ? this->answer(scope, *head, *body) : Answer{503, "{}"};
        if (address.fault == StoreFault::Slow) {
            this->loop.sleep(scope, slowness);
        }
        if (age != this->connectionAge) {
            channel.whenClosed().wait(scope);
            return;
        }
        while (address.fault == StoreFault::Silent) {
            this->loop.sleep(scope, 20);
        }
        const bool answers = address.fault == StoreFault::Refusing || address.faultNumber == faultNumber;
        if (!result || !answers || address.fault == StoreFault::Away) {
            if (this->channelEnd == ChannelEnd::Reset) {
                channel.resetOnClose();
            }
            return;
        }
        const LibHttpStream::ResponseHead response{
            result->status,
            std::string(LibHttpStream::reasonPhrase(result->status)),
            {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}, {"Content-Length", std::to_string(result->body.size())}}};
        if (!channel.write(scope, LibHttpStream::serializeResponseHead(response) + result->body, this->loop.clock().now() + testTimeout).ok()) {
            return;
        }
    }
}
