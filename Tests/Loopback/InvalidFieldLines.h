#pragma once

#include <string>
#include <vector>

namespace Loopback
{

/// A line of a message head or of trailers, without its end, whose field has no valid name.
struct InvalidFieldLine {
    const char *name;
    std::string line;
    /// The line declares how long the body is, in the eyes of a reader that overlooks the fault.
    bool framesBody = false;
};

/// Lines whose names are no tokens: with a blank, a control byte or another byte that no token has, before, in or after the name, or without a name. Those that
/// frame a body declare `bodyBytes`.
std::vector<InvalidFieldLine> invalidFieldLines(size_t bodyBytes);

} // namespace Loopback
