#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace LibGateway
{

/// One complete event of an event stream with the empty line that ends it.
struct StreamEvent {
    std::string text;
    /// Value of its id field, if it has one.
    std::optional<std::string> id;
};

/// Whether an event holds comments alone. They show that the connection is open, not that the response goes on.
bool isComment(const StreamEvent &event);

/// Whether a line of an event begins like the head of another response. Such a block is no event: an upstream in trouble has begun anew inside its body.
bool holdsMessageHead(const StreamEvent &event);

/// Splits the bytes of an event stream into complete events, so that a client never gets part of an event when the stream breaks off inside it. Each byte is
/// searched once, in however many pieces it is fed. An empty line with nothing before it is an event of its own, so that all bytes are passed on.
class EventSplitter
{
public:
    void feed(std::string_view bytes);

    /// Removes and returns the next complete event, or nothing.
    std::optional<StreamEvent> next();

    /// Bytes of an incomplete event that are left.
    size_t partialBytes() const;

private:
    /// Drops the bytes that have been returned.
    void compact();

    std::string buffer;
    /// Bytes of the buffer that next() has returned.
    size_t taken = 0;
    /// Start of the first line whose end has not been found.
    size_t lineStart = 0;
    /// Bytes of the buffer that have been searched for the end of a line.
    size_t searched = 0;
};

} // namespace LibGateway
