#pragma once

namespace LibHttp
{

/// Sets up CivetWeb once for the process; call it before any other function of the library. May be called from any thread.
/// CivetWeb's own initialization is not thread-safe: calls that overlap replace a mutex that is held.
void initializeCivetWeb();

} // namespace LibHttp
