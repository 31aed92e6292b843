#pragma once

#include <AK/EnumNames.h>
#include <LibFiber/ByteChannel.h>
#include <array>
#include <string>

namespace Loopback
{

/// How a server ends the connection of its answer.
enum class AnswerEnd {
    /// Resets it, whatever it has read.
    Reset,
    /// Closes it; the kernel makes that a reset when bytes of the upload have not been read.
    Close,
    /// Ends its own side and reads the rest of the upload.
    FinishAndRead,
    /// Ends its own side and closes at once.
    FinishAndClose,
    /// Ends its own side and closes later, so that bytes of the upload arrive in between.
    FinishAndCloseLater,
};

inline constexpr std::array answerEndNames{
    AK::EnumName{AnswerEnd::Reset, "reset"},
    AK::EnumName{AnswerEnd::Close, "closed"},
    AK::EnumName{AnswerEnd::FinishAndRead, "read_on"},
    AK::EnumName{AnswerEnd::FinishAndClose, "finished_and_closed"},
    AK::EnumName{AnswerEnd::FinishAndCloseLater, "finished_and_closed_later"},
};

/// An answer that a server gives before it has read all of the upload, and the end of its connection.
struct EndedAnswer {
    std::string text;
    /// Bytes of the upload that are read before the answer.
    size_t uploadBytes = 0;
    AnswerEnd end = AnswerEnd::Reset;
    /// Time between the answer and its end, in ms.
    AK::Milliseconds endAfter = 0;
};

/// Gives the answer and ends the connection, but for its close, which is left to the destructor of the channel.
void giveAnswer(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const EndedAnswer &answer);

} // namespace Loopback
