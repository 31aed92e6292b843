#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace LibWeights
{

/// Reads one range of at most `bytes` bytes from the origin. The deadline of `deadline` ms covers the whole response. A separate thread
/// reads, which is abandoned when `stopped` becomes true, and ends at the deadline. Errors:
/// kDeadlineExceeded, kCancelled when stopped, kUnavailable when the origin does not answer with status 206, and those of LibHttp::httpCall().
absl::StatusOr<std::string> readOriginRange(const AK::Endpoint &origin, const LibHttp::HttpRequest &request, size_t bytes, AK::Milliseconds deadline,
                                            const std::function<bool()> &stopped);

} // namespace LibWeights
