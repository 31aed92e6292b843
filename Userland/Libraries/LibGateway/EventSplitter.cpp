#include <LibGateway/EventSplitter.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

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

bool holdsMessageHead(const StreamEvent &event)
{
    static constexpr std::string_view head = "HTTP/1.";
    const std::string_view text = event.text;
    for (size_t at = text.find(head); at != std::string_view::npos; at = text.find(head, at + 1)) {
        if (at == 0 || text[at - 1] == '\n') {
            return true;
        }
    }
    return false;
}

void EventSplitter::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    while (true) {
        const size_t lineEnd = this->buffer.find('\n', this->searched);
        if (lineEnd == std::string::npos) {
            this->searched = this->buffer.size();
            this->compact();
            return std::nullopt;
        }
        // Lines end with LF or CRLF.
        const std::string_view line = std::string_view(this->buffer).substr(this->lineStart, lineEnd - this->lineStart);
        const bool endsEvent = line.empty() || line == "\r";
        this->lineStart = lineEnd + 1;
        this->searched = this->lineStart;
        if (endsEvent) {
            StreamEvent event{this->buffer.substr(this->taken, this->lineStart - this->taken), std::nullopt};
            event.id = idOf(event.text);
            this->taken = this->lineStart;
            return event;
        }
    }
}

void EventSplitter::compact()
{
    this->buffer.erase(0, this->taken);
    this->lineStart -= this->taken;
    this->searched -= this->taken;
    this->taken = 0;
}

size_t EventSplitter::partialBytes() const
{
    return this->buffer.size() - this->taken;
}

} // namespace LibGateway
