#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <map>
#include <string>
#include <vector>

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
    std::string listAnswer(const std::string &kind, const std::string &after);
    std::string watchAnswer(kj::WaitScope &scope, const std::string &kind, int64_t since, AK::Milliseconds wait);
    void change(const std::string &kind, const std::string &object, bool deleted);

    LibFiber::Loop &loop;
    AK::Endpoint endpoint;
    int64_t revision = 1;
    /// Objects by kind and by the text of their names.
    std::map<std::string, std::map<std::string, std::string>> objects;
    std::vector<Change> changes;
};
