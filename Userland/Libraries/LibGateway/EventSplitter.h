#pragma once

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

/// Cuts the bytes of an event stream into complete events, so that no part of an event reaches a client when a stream breaks off inside it.
class EventSplitter
{
public:
    void feed(std::string_view bytes);

    /// The next complete event, or nothing.
    std::optional<StreamEvent> next();

    /// True when bytes of an incomplete event are left.
    bool hasPartial() const;

private:
    std::string buffer;
};

} // namespace LibGateway
