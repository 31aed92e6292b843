#include <LibGateway/EventSplitter.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

struct EventEnd {
    size_t position = std::string::npos;
    size_t size = 0;
};

// Finds the empty line that ends the first event. Lines end with LF or CRLF.
EventEnd findEnd(std::string_view text)
{
    const size_t lineFeedEnd = text.find("\n\n");
    const size_t carriageReturnEnd = text.find("\r\n\r\n");
    if (carriageReturnEnd != std::string_view::npos && (lineFeedEnd == std::string_view::npos || carriageReturnEnd < lineFeedEnd)) {
        return {carriageReturnEnd, 4};
    }
    return {lineFeedEnd, 2};
}

std::optional<std::string> idOf(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.substr(0, field.size()) != field) {
            continue;
        }
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return std::string(line);
    }
    return std::nullopt;
}

} // namespace

bool isComment(const StreamEvent &event)
{
    std::string_view text = event.text;
    while (!text.empty()) {
        const size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!line.empty() && line != "\r" && line.front() != ':') {
            return false;
        }
    }
    return true;
}

void EventSplitter::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    const EventEnd end = findEnd(this->buffer);
    if (end.position == std::string::npos) {
        return std::nullopt;
    }
    StreamEvent event{this->buffer.substr(0, end.position + end.size), std::nullopt};
    event.id = idOf(event.text);
    this->buffer.erase(0, end.position + end.size);
    return event;
}

size_t EventSplitter::partialBytes() const
{
    return this->buffer.size();
}

} // namespace LibGateway
