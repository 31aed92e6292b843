#include "History.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace Soak
{

bool overlapsAny(const std::vector<Interval> &intervals, AK::Milliseconds from, AK::Milliseconds until)
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const Interval &interval) { return interval.from <= until && interval.until >= from; });
}

Call *History::find(const std::string &id)
{
    const auto found = this->callsById.find(id);
    return found == this->callsById.end() ? nullptr : &this->calls[found->second];
}

bool History::inTouch(size_t entry, AK::Milliseconds from, AK::Milliseconds until) const
{
    const AK::Milliseconds start = from - this->bounds.stableWindow;
    return !overlapsAny(this->entries[entry].impaired, start, until) && !overlapsAny(this->impaired, start, until);
}

bool History::entryImpaired(size_t entry, AK::Milliseconds from, AK::Milliseconds until) const
{
    return overlapsAny(this->entries[entry].cut, from, until);
}

std::string responseBody(const std::string &id, const std::string &receipt)
{
    constexpr size_t minSize = 200;
    constexpr uint64_t sizeRange = 3'000;
    return AK::concat(id, "/", receipt, "/", std::string(minSize + AK::stableHash(id) % sizeRange, 'x'));
}

std::string eventText(const std::string &id, const std::string &receipt, int number)
{
    return AK::concat("id: ", number, "\ndata: ", id, "/", receipt, "/", number, "\n\n");
}

} // namespace Soak
