#pragma once

#include <AK/Random.h>
#include <string>
#include <vector>

namespace FuzzTest
{

/// The text of a JSON value that a parser must survive.
struct HostileValue {
    const char *name;
    std::string text;
    /// No parser may accept a text that holds the value, in whatever field.
    bool alwaysRejected = true;
};

/// Values that are too deep, too many, too long, out of range or that can't be read.
const std::vector<HostileValue> &hostileValues();

/// Applies the edits of mutate(), and in one of four texts inserts a hostile value of at most 64 KiB after a colon, a comma or a bracket.
std::string mutateHostile(std::string text, AK::Random &random);

} // namespace FuzzTest
