#pragma once

#include <kj/async-io.h>

namespace LibFiber
{

/// Makes the kernel end a connection whose peer host has vanished without a reset, within some four seconds: by keepalive probes while it is idle, by a limit
/// on unacknowledged data otherwise. A process that stands still, or one behind a relay, is not noticed.
void setLossDetection(kj::AsyncIoStream &stream);

} // namespace LibFiber
