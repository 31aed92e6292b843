#pragma once

#include <capnp/message.h>
#include <kj/debug.h>

namespace LibPeers
{

/// Largest message from a process that is called. The largest response is a chunk of weights of 16 MB, the most that is read from the origin.
inline constexpr size_t maxResponseBytes = 17UL << 20;
/// Largest message from a process that calls. Calls carry the state of a process, which is far smaller.
inline constexpr size_t maxRequestBytes = 4UL << 20;
/// Responses that wait for a caller that doesn't read them. One more call ends its connection.
inline constexpr size_t maxUnreadBytes = 8UL << 20;
inline constexpr size_t maxUnreadResponses = 500;
/// Rows of a list in the state of a process, about three times the processes of the largest deployment. A row takes more memory than bytes in its message.
inline constexpr size_t maxRows = 4'096;

/// Options for reading messages of up to `bytes`. They bound also what a message holds when it refers to the same bytes many times.
inline capnp::ReaderOptions readerOptions(size_t bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = bytes / sizeof(capnp::word);
    return options;
}

/// Fails the call that has brought a list of too many rows.
inline void requireRows(size_t rows, size_t limit)
{
    KJ_REQUIRE(rows <= limit, "too many rows", rows, limit);
}

} // namespace LibPeers
