#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace LibGateway
{

/// What a call expects at the address of an upstream.
struct ExpectedUpstream {
    /// Wall time in ms at which the incarnation was started, 0 when unknown.
    int64_t startTime = 0;
    /// Version of the weights that it is taken to hold.
    int64_t weightsVersion = 0;

    bool operator==(const ExpectedUpstream &) const = default;
};

/// An address where calls found something else than was expected there.
struct Misdirection {
    ExpectedUpstream expected;
    int inRow = 0;
    /// Monotonic time before which no call with this expectation is sent there.
    AK::Milliseconds until = 0;
};

/// By id of the upstream instance.
using Misdirections = std::map<std::string, Misdirection>;

/// Records that a call was refused as misdirected. Returns the time before which no other one is sent there: what the entry knows is out of date, and the
/// news of it may be seconds away. Load pattern: all hosts of a deployment lose power, their engines return as new instances, and the registrations of the
/// old ones last for three more renewals; each call that is sent to one costs a retry and one of its attempts. More than `maxEntries` are not kept.
AK::Milliseconds recordMisdirection(Misdirections &misdirections, const std::string &upstream, const ExpectedUpstream &expected, AK::Milliseconds now,
                                    size_t maxEntries);

/// Time before which no call is sent to an upstream from which `expected` is expected, 0 for any time. News of the upstream change what is expected.
AK::Milliseconds misdirectedUntil(const Misdirections &misdirections, const std::string &upstream, const ExpectedUpstream &expected);

} // namespace LibGateway
