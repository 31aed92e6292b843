#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace LibWeights
{

/// Reads one range of at most `bytes` bytes from the origin. The deadline of `deadline` ms covers the whole response. CivetWeb waits 30 s for a peer that
/// stalls in the middle of a body, so a separate thread reads, which is abandoned when the deadline passes or `stopped` becomes true. Errors:
/// kDeadlineExceeded, kCancelled when stopped, kUnavailable when the origin does not answer with status 206, and those of LibHttp::httpCall().
absl::StatusOr<std::string> readOriginRange(const AK::Endpoint &origin, const LibHttp::HttpRequest &request, size_t bytes, AK::Milliseconds deadline,
                                            const std::function<bool()> &stopped);

} // namespace LibWeights
