#include <LibJson/BoundedJson.h>

#include <AK/Text.h>
#include <algorithm>

namespace LibJson
{

namespace
{

absl::Status exceeded(std::string_view what, size_t limit)
{
    return absl::InvalidArgumentError(AK::concat(what, ", the limit is ", limit));
}

// Errors of the parser quote the text that they were found in.
constexpr size_t maxReasonBytes = 200;

} // namespace

absl::Status checkLimits(std::string_view text, const JsonLimits &limits)
{
    if (text.size() > limits.bytes) {
        return exceeded(AK::concat("has ", text.size(), " bytes"), limits.bytes);
    }
    size_t depth = 0;
    // The outermost value; each comma and each opening bracket may begin another one.
    size_t values = 1;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
            continue;
        }
        switch (character) {
        case '"':
            inString = true;
            break;
        case '[':
        case '{':
            ++values;
            if (++depth > limits.depth) {
                return exceeded("is nested too deeply", limits.depth);
            }
            break;
        case ']':
        case '}':
            depth -= std::min<size_t>(depth, 1);
            break;
        case ',':
            ++values;
            break;
        default:
            break;
        }
        if (values > limits.values) {
            return exceeded("has too many values", limits.values);
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<nlohmann::json> parse(std::string_view text, const JsonLimits &limits)
{
    if (absl::Status status = checkLimits(text, limits); !status.ok()) {
        return status;
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &exception) {
        return absl::InvalidArgumentError(std::string(exception.what()).substr(0, maxReasonBytes));
    }
}

absl::StatusOr<nlohmann::json> parseObject(std::string_view text, const JsonLimits &limits)
{
    absl::StatusOr<nlohmann::json> parsed = parse(text, limits);
    if (parsed.ok() && !parsed->is_object()) {
        return absl::InvalidArgumentError("must be an object");
    }
    return parsed;
}

} // namespace LibJson
