#include <LibJson/RawJson.h>

#include <algorithm>
#include <charconv>

namespace LibJson
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n";
constexpr uint32_t firstHighSurrogate = 0xd800;
constexpr uint32_t firstLowSurrogate = 0xdc00;
constexpr uint32_t surrogateCount = 0x400;

std::string_view trim(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(whitespace), text.size()));
    text.remove_suffix(text.size() - std::min(text.find_last_not_of(whitespace) + 1, text.size()));
    return text;
}

/// Takes values off the front of a text.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : rest(text)
    {
    }

    bool atEnd()
    {
        this->skipSpace();
        return this->rest.empty();
    }

    bool take(char character)
    {
        this->skipSpace();
        const bool found = this->rest.starts_with(character);
        this->rest.remove_prefix(found ? 1 : 0);
        return found;
    }

    std::optional<std::string_view> takeValue()
    {
        this->skipSpace();
        const std::optional<size_t> length = this->rest.starts_with('"') ? this->stringLength(0) : this->valueLength();
        if (!length || *length == 0) {
            return std::nullopt;
        }
        const std::string_view value = trim(this->rest.substr(0, *length));
        this->rest.remove_prefix(*length);
        return value;
    }

private:
    void skipSpace()
    {
        this->rest.remove_prefix(std::min(this->rest.find_first_not_of(whitespace), this->rest.size()));
    }

    // Length of the string that begins at `start`, with its quotes.
    std::optional<size_t> stringLength(size_t start) const
    {
        for (size_t i = start + 1; i < this->rest.size(); ++i) {
            if (this->rest[i] == '"') {
                return i + 1 - start;
            }
            i += this->rest[i] == '\\' ? 1 : 0;
        }
        return std::nullopt;
    }

    // Length up to the comma or bracket that ends the value.
    std::optional<size_t> valueLength() const
    {
        size_t depth = 0;
        for (size_t i = 0; i < this->rest.size(); ++i) {
            const char character = this->rest[i];
            if (character == '"') {
                const std::optional<size_t> length = this->stringLength(i);
                if (!length) {
                    return std::nullopt;
                }
                i += *length - 1;
            } else if (character == '[' || character == '{') {
                ++depth;
            } else if (depth == 0 && (character == ',' || character == ']' || character == '}')) {
                return i;
            } else if (character == ']' || character == '}') {
                --depth;
            }
        }
        return depth == 0 ? std::optional(this->rest.size()) : std::nullopt;
    }

    std::string_view rest;
};

std::optional<uint32_t> hexDigits(std::string_view digits)
{
    uint32_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return digits.size() == 4 && error == std::errc() && end == digits.data() + digits.size() ? std::optional(value) : std::nullopt;
}

void appendUtf8(std::string &text, uint32_t point)
{
    if (point < 0x80) {
        text += static_cast<char>(point);
        return;
    }
    const int continuations = point < 0x800 ? 1 : point < 0x10000 ? 2 : 3;
    constexpr uint32_t leadBits[] = {0, 0xc0, 0xe0, 0xf0};
    text += static_cast<char>(leadBits[continuations] | (point >> (6 * continuations)));
    for (int i = continuations - 1; i >= 0; --i) {
        text += static_cast<char>(0x80 | ((point >> (6 * i)) & 0x3f));
    }
}

// Decodes the digits of a \u escape sequence at the front of `rest`, with its second half if it has one.
bool decodeCodePoint(std::string_view &rest, std::string &text)
{
    const std::optional<uint32_t> first = hexDigits(rest.substr(0, 4));
    if (!first) {
        return false;
    }
    rest.remove_prefix(4);
    if (*first >= firstHighSurrogate && *first < firstLowSurrogate && rest.starts_with("\\u")) {
        const std::optional<uint32_t> second = hexDigits(rest.substr(2, 4));
        if (second && *second >= firstLowSurrogate && *second < firstLowSurrogate + surrogateCount) {
            rest.remove_prefix(6);
            appendUtf8(text, 0x10000 + (*first - firstHighSurrogate) * surrogateCount + (*second - firstLowSurrogate));
            return true;
        }
    }
    if (*first >= firstLowSurrogate + 0x80 && *first <= firstLowSurrogate + 0xff) {
        text += static_cast<char>(*first - firstLowSurrogate);
        return true;
    }
    appendUtf8(text, *first);
    return true;
}

bool decodeEscape(std::string_view &rest, std::string &text)
{
    static constexpr std::string_view letters = "\"\\/bfnrt";
    static constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
    if (rest.empty()) {
        return false;
    }
    const char letter = rest.front();
    rest.remove_prefix(1);
    if (letter == 'u') {
        return decodeCodePoint(rest, text);
    }
    const size_t index = letters.find(letter);
    if (index == std::string_view::npos) {
        return false;
    }
    text += meanings[index];
    return true;
}

} // namespace

std::optional<std::vector<RawField>> splitObject(std::string_view text)
{
    Scanner scanner(text);
    std::vector<RawField> fields;
    if (!scanner.take('{')) {
        return std::nullopt;
    }
    while (!scanner.take('}')) {
        const bool separated = fields.empty() || scanner.take(',');
        const std::optional<std::string_view> name = separated ? scanner.takeValue() : std::nullopt;
        if (!name || !name->starts_with('"') || !scanner.take(':')) {
            return std::nullopt;
        }
        const std::optional<std::string_view> value = scanner.takeValue();
        if (!value) {
            return std::nullopt;
        }
        fields.push_back({name->substr(1, name->size() - 2), *value});
    }
    return scanner.atEnd() ? std::optional(std::move(fields)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text, size_t maxElements)
{
    Scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.take('[')) {
        return std::nullopt;
    }
    while (!scanner.take(']')) {
        const bool separated = elements.size() < maxElements && (elements.empty() || scanner.take(','));
        const std::optional<std::string_view> value = separated ? scanner.takeValue() : std::nullopt;
        if (!value) {
            return std::nullopt;
        }
        elements.push_back(*value);
    }
    return scanner.atEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::string_view> findField(const std::vector<RawField> &fields, std::string_view name)
{
    const auto found = std::find_if(fields.rbegin(), fields.rend(), [&](const RawField &field) { return field.name == name; });
    return found == fields.rend() ? std::nullopt : std::optional(found->value);
}

std::optional<std::string> decodeText(std::string_view text)
{
    if (text.size() < 2 || !text.starts_with('"') || !text.ends_with('"')) {
        return std::nullopt;
    }
    std::string_view rest = text.substr(1, text.size() - 2);
    std::string decoded;
    while (!rest.empty()) {
        const char character = rest.front();
        rest.remove_prefix(1);
        if (character != '\\') {
            decoded += character;
        } else if (!decodeEscape(rest, decoded)) {
            return std::nullopt;
        }
    }
    return decoded;
}

} // namespace LibJson
