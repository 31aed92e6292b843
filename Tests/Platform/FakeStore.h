#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// How a channel ends without a response.
enum class ChannelEnd { Closed, Reset };

/// A stand-in for the platform's store on loopback. It serves lists and watches of objects whose text is written into the answers as it is, so that it may be
/// no JSON.
class FakeStore
{
public:
    explicit FakeStore(LibFiber::Loop &loop);

    const AK::Endpoint &address() const;

    /// `name` and `spec` are the text of JSON values, in the form in which the store writes them.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Adds an item and an event as they are, for what is no object.
    void putRaw(const std::string &kind, const std::string &text);

    /// Ends the channel of each waiting watch.
    void cutWatches(ChannelEnd end);
    /// Answers nothing more on the channels that are open, and keeps them open.
    void silenceChannels();
    /// Answers nothing until the store is back, on new channels too.
    void goAway();
    /// Ends all channels on which calls wait.
    void comeBack(ChannelEnd end);

    /// Items in an answer to a list; the rest is read with another call.
    size_t pageSize = 500;
    int lists = 0;

private:
    struct Change {
        int64_t revision = 0;
        std::string kind;
        std::string text;
    };

    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);
    /// Returns nothing when the channel is to end without an answer.
    std::optional<std::string> answer(kj::WaitScope &scope, const std::string &target);
    void awaitReturn(kj::WaitScope &scope);
    std::string listAnswer(const std::string &kind, const std::string &after);
    std::optional<std::string> watchAnswer(kj::WaitScope &scope, const std::string &kind, int64_t since, AK::Milliseconds wait);
    void change(const std::string &kind, const std::string &object, bool deleted);

    LibFiber::Loop &loop;
    AK::Endpoint endpoint;
    int64_t revision = 1;
    /// Objects by kind and by the text of their names.
    std::map<std::string, std::map<std::string, std::string>> objects;
    std::vector<Change> changes;
    bool away = false;
    ChannelEnd channelEnd = ChannelEnd::Reset;
    /// Calls of cutWatches() and comeBack().
    int cuts = 0;
    /// Calls of silenceChannels().
    int silences = 0;
};
