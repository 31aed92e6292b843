#pragma once

#include "EntryFleet.h"
#include <AK/Random.h>
#include <LibFiber/ByteChannel.h>

namespace Soak
{

/// A client that makes call after call, on a connection that it keeps until the entry closes it.
class Client
{
public:
    Client(LibFiber::Loop &loop, History &history, const EntryFleet &entries, uint64_t seed);

    void run(kj::WaitScope &scope, const bool &stopping);

private:
    struct Connection {
        kj::Own<LibFiber::ByteChannel> channel;
        size_t entry = 0;
        int boot = 0;
    };

    void useConnection(kj::WaitScope &scope, Connection &connection, const bool &stopping);
    Call &newCall(const Connection &connection);
    /// Returns whether the connection can be used for another call.
    bool makeCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call);
    bool send(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call);
    bool receive(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Call &call);
    void fail(const LibFiber::ByteChannel &channel, Call &call, const absl::Status &status) const;
    AK::Milliseconds draw(AK::Milliseconds from, AK::Milliseconds range);

    LibFiber::Loop &loop;
    History &history;
    const EntryFleet &entries;
    AK::Random random;
    /// When the current call is given up, at the client's deadline or before.
    AK::Milliseconds patienceEnds = 0;
    AK::Milliseconds retryAfter = 0;
};

} // namespace Soak
