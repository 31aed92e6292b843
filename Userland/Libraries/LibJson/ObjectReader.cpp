#include <LibJson/ObjectReader.h>

#include <AK/Text.h>
#include <cmath>

namespace LibJson
{

namespace
{

// The whole number that a JSON number stands for, or nothing when it has a fraction or doesn't fit.
std::optional<int64_t> toWholeNumber(const nlohmann::json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<uint64_t>();
        return number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()) ? std::optional(static_cast<int64_t>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        return value.get<int64_t>();
    }
    const auto number = value.get<double>();
    const bool exact = std::abs(number) <= static_cast<double>(maxExactInteger) && std::floor(number) == number;
    return exact ? std::optional(static_cast<int64_t>(number)) : std::nullopt;
}

const nlohmann::json &emptyArray()
{
    static const nlohmann::json empty = nlohmann::json::array();
    return empty;
}

const nlohmann::json &emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json &object, std::string path)
    : source(object)
    , path(std::move(path))
{
    if (!object.is_object()) {
        this->firstError = absl::InvalidArgumentError(AK::concat(this->path, ": must be an object"));
    }
}

const absl::Status &ObjectReader::status() const
{
    return this->firstError;
}

std::string ObjectReader::pathOf(const char *name) const
{
    return AK::concat(this->path, ".", name);
}

std::string ObjectReader::pathOf(const char *name, size_t index) const
{
    return AK::concat(this->path, ".", name, ".", index);
}

void ObjectReader::fail(const char *name, std::string_view problem)
{
    if (this->firstError.ok()) {
        this->firstError = absl::InvalidArgumentError(AK::concat(this->pathOf(name), ": ", problem));
    }
}

void ObjectReader::adopt(const absl::Status &status)
{
    this->firstError.Update(status);
}

const nlohmann::json *ObjectReader::find(const char *name) const
{
    if (!this->source.is_object()) {
        return nullptr;
    }
    const auto found = this->source.find(name);
    return found == this->source.end() || found->is_null() ? nullptr : &*found;
}

const nlohmann::json *ObjectReader::require(const char *name)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr) {
        this->fail(name, "is missing");
    }
    return value;
}

bool ObjectReader::has(const char *name) const
{
    return this->find(name) != nullptr;
}

bool ObjectReader::mentions(const char *name) const
{
    return this->source.is_object() && this->source.contains(name);
}

std::string ObjectReader::text(const char *name)
{
    const nlohmann::json *value = this->require(name);
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string()) {
        this->fail(name, "must be a string");
        return "";
    }
    return value->get<std::string>();
}

std::string ObjectReader::textOr(const char *name, const std::string &fallback)
{
    return this->has(name) ? this->text(name) : fallback;
}

bool ObjectReader::flagOr(const char *name, bool fallback)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->fail(name, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

double ObjectReader::number(const char *name, double lowest, double highest)
{
    const nlohmann::json *value = this->require(name);
    if (value == nullptr) {
        return lowest;
    }
    const double number = value->is_number() ? value->get<double>() : std::nan("");
    if (!(number >= lowest && number <= highest)) {
        this->fail(name, AK::concat("must be a number from ", lowest, " to ", highest));
        return lowest;
    }
    return number;
}

double ObjectReader::numberOr(const char *name, double fallback, double lowest, double highest)
{
    return this->has(name) ? this->number(name, lowest, highest) : fallback;
}

int64_t ObjectReader::wholeNumber(const char *name, int64_t lowest, int64_t highest)
{
    const nlohmann::json *value = this->require(name);
    if (value == nullptr) {
        return lowest;
    }
    const std::optional<int64_t> number = value->is_number() ? toWholeNumber(*value) : std::nullopt;
    if (!number || *number < lowest || *number > highest) {
        this->fail(name, AK::concat("must be a whole number from ", lowest, " to ", highest));
        return lowest;
    }
    return *number;
}

const nlohmann::json &ObjectReader::array(const char *name)
{
    const nlohmann::json *value = this->require(name);
    if (value != nullptr && !value->is_array()) {
        this->fail(name, "must be an array");
    }
    return value != nullptr && value->is_array() ? *value : emptyArray();
}

const nlohmann::json &ObjectReader::arrayOrEmpty(const char *name)
{
    return this->has(name) ? this->array(name) : emptyArray();
}

const nlohmann::json &ObjectReader::object(const char *name)
{
    const nlohmann::json *value = this->require(name);
    if (value != nullptr && !value->is_object()) {
        this->fail(name, "must be an object");
    }
    return value != nullptr && value->is_object() ? *value : emptyObject();
}

} // namespace LibJson
