#include "EndedAnswer.h"

#include <algorithm>

namespace Loopback
{

namespace
{

constexpr AK::Milliseconds answerTimeout = 5'000;
constexpr AK::Milliseconds laterMs = 20;

// Reads and drops bytes until so many have been read or the peer has ended its side.
void skip(kj::WaitScope &scope, LibFiber::ByteChannel &channel, size_t bytes)
{
    const AK::Milliseconds deadline = channel.eventLoop().clock().now() + answerTimeout;
    while (bytes > 0 && (!channel.buffered().empty() || channel.fill(scope, deadline).ok())) {
        const size_t size = std::min(bytes, channel.buffered().size());
        channel.consume(size);
        bytes -= size;
    }
}

} // namespace

void giveAnswer(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const EndedAnswer &answer)
{
    LibFiber::Loop &loop = channel.eventLoop();
    skip(scope, channel, answer.uploadBytes);
    // Fails when the other side has given up, which is for the caller to see.
    (void)channel.write(scope, answer.text, loop.clock().now() + answerTimeout);
    if (answer.endAfter > 0) {
        loop.sleep(scope, answer.endAfter);
    }
    switch (answer.end) {
    case AnswerEnd::Reset:
        channel.resetOnClose();
        break;
    case AnswerEnd::Close:
        break;
    case AnswerEnd::FinishAndRead:
        channel.finishWriting();
        skip(scope, channel, std::string::npos);
        break;
    case AnswerEnd::FinishAndClose:
        channel.finishWriting();
        break;
    case AnswerEnd::FinishAndCloseLater:
        channel.finishWriting();
        loop.sleep(scope, laterMs);
        break;
    }
}

} // namespace Loopback
