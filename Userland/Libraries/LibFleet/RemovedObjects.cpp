#include <LibFleet/RemovedObjects.h>

#include <AK/Hash.h>

namespace LibFleet
{

namespace
{

// Longer than any grace time, and than a message takes.
constexpr AK::Milliseconds removedObjectAge = 60'000;

} // namespace

void RemovedObjects::record(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &next, AK::Milliseconds now)
{
    std::erase_if(this->removed, [&](const auto &item) { return next.contains(item.first) || now - item.second.since > removedObjectAge; });
    for (const auto &[name, spec] : previous) {
        if (!next.contains(name)) {
            this->removed[name] = {AK::stableHash(spec), now};
        }
    }
}

bool RemovedObjects::contains(const std::string &name, const std::string &spec) const
{
    const auto object = this->removed.find(name);
    return object != this->removed.end() && object->second.specHash == AK::stableHash(spec);
}

} // namespace LibFleet
