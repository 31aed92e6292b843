#pragma once

#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <LibFiber/Loop.h>
#include <LibHttpStream/MessageHead.h>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// How a connection ends without a response.
enum class ChannelEnd { Closed, Reset };

/// How the store treats the calls that arrive at one of its addresses.
enum class StoreFault {
    None,
    /// Connections are reset.
    Away,
    /// Calls get no answer; those that are waiting neither.
    Silent,
    /// Each answer takes 600 ms longer.
    Slow,
    /// Calls get 503.
    Refusing,
};

inline constexpr std::array storeFaultNames{
    AK::EnumName{StoreFault::None, "none"}, AK::EnumName{StoreFault::Away, "away"},         AK::EnumName{StoreFault::Silent, "silent"},
    AK::EnumName{StoreFault::Slow, "slow"}, AK::EnumName{StoreFault::Refusing, "refusing"},
};

/// A stand-in for the platform's store on loopback. It serves lists, watches and writes of objects whose text is written into the answers as it is, so that it
/// may be no JSON.
class FakeStore
{
public:
    struct Change {
        int64_t revision = 0;
        std::string kind;
        std::string text;
    };

    /// All that the store holds. Its revisions go back with it.
    struct Copy {
        int64_t revision = 1;
        /// Objects by kind and by the text of their names.
        std::map<std::string, std::map<std::string, std::string>> objects;
        std::vector<Change> changes;
    };

    explicit FakeStore(LibFiber::Loop &loop);
    /// Listens on several addresses, each with faults of its own.
    FakeStore(LibFiber::Loop &loop, std::vector<AK::Endpoint> endpoints);
    ~FakeStore();
    KJ_DISALLOW_COPY(FakeStore);

    const AK::Endpoint &address() const;
    const AK::Endpoint &address(size_t index) const;
    size_t addressCount() const;

    void setFault(size_t index, StoreFault fault);
    /// Resets the connections on which a watch of the kind waits.
    void resetWatches(const std::string &kind);
    /// Calls on the connections that are open now get no answers any more; new connections work.
    void silenceConnections();
    /// Ends the connection of each waiting watch.
    void cutWatches(ChannelEnd end);
    /// Answers nothing until the store is back, on new connections too.
    void goAway();
    /// Ends all connections on which calls wait.
    void comeBack(ChannelEnd end);
    /// Watches from an earlier revision than the current one get 410.
    void forgetHistory();
    Copy copy() const;
    /// Replaces the content by that of an older copy; the era rises by one.
    void restore(const Copy &older);

    /// `name` and `spec` are the text of JSON values, in the form in which the store writes them.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// The text of the object, or nothing.
    std::optional<std::string> find(const std::string &kind, const std::string &name) const;
    std::vector<std::string> names(const std::string &kind) const;
    /// Adds an item and an event as they are, for what is no object.
    void putRaw(const std::string &kind, const std::string &text);

    /// Items in an answer to a list; the rest is read with another call.
    size_t pageSize = 500;
    int lists = 0;

private:
    struct Address {
        AK::Endpoint endpoint;
        StoreFault fault = StoreFault::None;
        /// Incremented by each change of the fault.
        int faultNumber = 0;
    };

    struct Answer {
        int status = 200;
        std::string body;
    };

    void listen(size_t index);
    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream, Address &address);
    std::optional<Answer> answer(kj::WaitScope &scope, const LibHttpStream::RequestHead &head, const std::string &body);
    Answer write(const std::string &method, const std::string &kind, const std::string &name, const std::string &body);
    void awaitReturn(kj::WaitScope &scope);
    std::string listAnswer(const std::string &kind, const std::string &after);
    std::optional<Answer> watchAnswer(kj::WaitScope &scope, const std::string &kind, int64_t since, AK::Milliseconds wait);
    void change(const std::string &kind, const std::string &object, bool deleted);

    LibFiber::Loop &loop;
    std::vector<Address> addresses;
    Copy content;
    /// Number of times that the store has come back from an older copy.
    int64_t era = 0;
    int64_t forgottenUpTo = 0;
    /// Incremented by silenceConnections().
    int connectionAge = 0;
    std::map<std::string, int> watchResets;
    bool away = false;
    ChannelEnd channelEnd = ChannelEnd::Reset;
    /// Incremented by cutWatches() and comeBack().
    int cuts = 0;
};
