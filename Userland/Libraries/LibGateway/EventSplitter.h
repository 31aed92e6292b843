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

/// Splits the bytes of an event stream into complete events, so that a client never gets part of an event when the stream breaks off inside it.
class EventSplitter
{
public:
    void feed(std::string_view bytes);

    /// Removes and returns the next complete event, or nothing.
    std::optional<StreamEvent> next();

    /// Bytes of an incomplete event that are left.
    size_t partialBytes() const;

private:
    std::string buffer;
};

} // namespace LibGateway
