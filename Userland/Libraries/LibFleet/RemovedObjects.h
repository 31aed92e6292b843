#pragma once

#include <AK/Clock.h>
#include <map>
#include <string>

namespace LibFleet
{

/// States of objects that a process has had in force and that are in force no longer. Load pattern: a process that was cut off marks objects as kept which the
/// others have removed, and these would put them back in force.
class RemovedObjects
{
public:
    /// `next` replaces `previous` as what is in force.
    void record(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &next, AK::Milliseconds now);

    /// Whether an object was removed in this state and is not in force in another one.
    bool contains(const std::string &name, const std::string &spec) const;

private:
    struct Removed {
        uint64_t specHash = 0;
        AK::Milliseconds since = 0;
    };

    std::map<std::string, Removed> removed;
};

} // namespace LibFleet
