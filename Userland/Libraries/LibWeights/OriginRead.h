#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace LibWeights
{

/// Reads the body of one range of at most `bytes` bytes from the origin within `deadline` ms, head and body together. CivetWeb waits 30 s for a silent peer in
/// the middle of a body, so a thread of its own reads and is left behind when the deadline passes or `stopped` becomes true.
/// Errors: kDeadlineExceeded, kCancelled when stopped, kUnavailable when the origin gives no such range, and those of LibHttp::httpCall().
absl::StatusOr<std::string> readOriginRange(const AK::Endpoint &origin, const LibHttp::HttpRequest &request, size_t bytes, AK::Milliseconds deadline,
                                            const std::function<bool()> &stopped);

} // namespace LibWeights
