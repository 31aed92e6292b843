#pragma once

#include <string>

namespace Loopback
{

/// A loopback address that this test program uses alone, so that several programs, and several runs of one, may listen on the same ports.
const std::string &processHost();

} // namespace Loopback
