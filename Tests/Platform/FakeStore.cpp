#include "FakeStore.h"

#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageReader.h>
#include <LibJson/RawJson.h>
#include <Loopback/ProcessHost.h>
#include <kj/debug.h>
#include <sys/socket.h>

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

/// Makes the socket send a reset when it is closed.
void resetWhenClosed(kj::AsyncIoStream &stream)
{
    const linger atOnce{1, 0};
    stream.setsockopt(SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

} // namespace

FakeStore::FakeStore(LibFiber::Loop &loop)
    : loop(loop)
    , endpoint{Loopback::processHost(), nextPort()}
{
    auto listener = LibFiber::listenOn(loop, this->endpoint);
    KJ_ASSERT(listener.ok(), std::string(listener.status().message()).c_str());
    LibFiber::acceptEach(loop, kj::mv(*listener), [this](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) { this->serve(scope, kj::mv(stream)); });
}

const AK::Endpoint &FakeStore::address() const
{
    return this->endpoint;
}

void FakeStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::string object = AK::concat(R"({"metadata":{"name":)", name, R"(,"revision":)", this->revision + 1, R"(},"spec":)", spec, R"(,"status":null})");
    this->objects[kind][name] = object;
    this->change(kind, object, false);
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    const std::string object = this->objects[kind][name];
    this->objects[kind].erase(name);
    this->change(kind, object, true);
}

void FakeStore::putRaw(const std::string &kind, const std::string &text)
{
    this->objects[kind][text] = text;
    this->changes.push_back({++this->revision, kind, text});
}

void FakeStore::change(const std::string &kind, const std::string &object, bool deleted)
{
    this->changes.push_back({++this->revision, kind, AK::concat(R"({"object":)", object, R"(,"deleted":)", deleted ? "true" : "false", "}")});
}

void FakeStore::cutWatches(ChannelEnd end)
{
    this->channelEnd = end;
    ++this->cuts;
}

void FakeStore::silenceChannels()
{
    ++this->silences;
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

std::string FakeStore::listAnswer(const std::string &kind, const std::string &after)
{
    ++this->lists;
    std::string items;
    size_t count = 0;
    bool truncated = false;
    for (const auto &[name, object] : this->objects[kind]) {
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
    return AK::concat(R"({"items":[)", items, R"(],"truncated":)", truncated ? "true" : "false", R"(,"currentRev":)", this->revision, "}");
}

std::optional<std::string> FakeStore::watchAnswer(kj::WaitScope &scope, const std::string &kind, int64_t since, AK::Milliseconds wait)
{
    const AK::Milliseconds until = this->loop.clock().now() + wait;
    const int cutsBefore = this->cuts;
    while (true) {
        this->awaitReturn(scope);
        if (this->cuts != cutsBefore) {
            return std::nullopt;
        }
        std::string events;
        for (const Change &change : this->changes) {
            if (change.revision > since && change.kind == kind) {
                events += AK::concat(events.empty() ? "" : ",", change.text);
            }
        }
        if (!events.empty() || this->loop.clock().now() >= until) {
            return AK::concat(R"({"events":[)", events, R"(],"currentRev":)", this->revision, "}");
        }
        this->loop.sleep(scope, 2);
    }
}

std::optional<std::string> FakeStore::answer(kj::WaitScope &scope, const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    const std::string kind = path.substr(path.rfind('/') + 1);
    const std::string since = queryValue(target, "watch");
    if (since.empty()) {
        const int cutsBefore = this->cuts;
        this->awaitReturn(scope);
        return this->cuts != cutsBefore ? std::nullopt : std::optional(this->listAnswer(kind, percentDecode(queryValue(target, "afterRev"))));
    }
    return this->watchAnswer(scope, kind, AK::parseInteger(since).value_or(0), AK::parseInteger(queryValue(target, "waitMs")).value_or(0));
}

void FakeStore::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream)
{
    kj::AsyncIoStream &socket = *stream;
    LibFiber::ByteChannel channel(this->loop, kj::mv(stream));
    const int silencesBefore = this->silences;
    while (true) {
        const auto text = LibHttpStream::readHeadText(channel, scope, 65'536, this->loop.clock().now() + testTimeout);
        if (!text.ok()) {
            return;
        }
        const auto head = LibHttpStream::parseRequestHead(*text);
        KJ_ASSERT(head.ok());
        const std::optional<std::string> body = this->answer(scope, head->target);
        if (this->silences != silencesBefore) {
            channel.whenClosed().wait(scope);
            return;
        }
        if (!body) {
            if (this->channelEnd == ChannelEnd::Reset) {
                resetWhenClosed(socket);
            }
            return;
        }
        const LibHttpStream::ResponseHead response{200, "OK", {{"Content-Type", "application/json"}, {"Content-Length", std::to_string(body->size())}}};
        if (!channel.write(scope, LibHttpStream::serializeResponseHead(response) + *body, this->loop.clock().now() + testTimeout).ok()) {
            return;
        }
    }
}
