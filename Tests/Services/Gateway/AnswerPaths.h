#pragma once

#include "GatewaySite.h"
#include <functional>
#include <vector>

/// A way on which an upstream answers a call.
enum class AnswerPath {
    /// A call that may be repeated, and one that may run once.
    Repeatable,
    OnceOnly,
    Stream,
    /// The rest of a stream that another upstream has broken off.
    Resumed,
    /// The second attempt, after a failure of the first upstream.
    Retried,
    /// A later answer on the connection of a sound one.
    LaterAnswer,
    /// Beside a refusal that says that the request has not run.
    Refusal,
    /// Beside the upload, of which the upstream has read nothing.
    Early,
    EarlyOnceOnly,
    EarlyStream,
};

struct AnswerPathCase {
    const char *name;
    AnswerPath path;
    LibFleet::RouteKind kind;
    /// What the client gets.
    int status;
    /// Requests at upstreams, all of them together.
    size_t requests;
};

/// All paths, with what a call does when the answer on it is invalid.
const std::vector<AnswerPathCase> &answerPaths();

/// Makes an answer to the request with the id, with more lines in its head. Whatever it has for a body must hold `invalidBody`.
using InvalidAnswer = std::function<std::string(const std::string &id, const std::string &moreLines)>;

inline const std::string invalidBody = "bad";
/// The first lines of a sound answer to a request.
std::string soundHead(const std::string &id);
/// The text of the events with these numbers.
std::string eventTexts(int first, int last);
/// Number of the last event of the streams.
inline constexpr int lastEvent = 4;
/// A stream that starts with an event and has its end if it is whole.
std::string streamFrom(const std::string &id, int first, int last, bool whole);

/// Makes a call whose upstream gives the answer on the path, and expects that the client gets nothing of it and that the call does what the path says.
void expectNoClientGets(const AnswerPathCase &path, const InvalidAnswer &invalidAnswer);
