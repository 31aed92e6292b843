#include <LibHttpStream/MessageReader.h>

#include <AK/StatusMacros.h>
#include <algorithm>

namespace LibHttpStream
{

namespace
{

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
// Longest line before a chunk or in the trailers, in bytes, chunk extensions included.
constexpr size_t chunkLineLimitBytes = 1024;
// Bytes of the line before a chunk that hold its size and the padding that some senders write; the rest of it counts as extensions.
constexpr size_t chunkSizeBytes = 16;
// Extensions of all chunks of a body together, in bytes, beyond as many as the body has.
constexpr uint64_t extensionsLimitBytes = 16'384;
// Pieces of a body that have arrived and are read in a row before others run.
constexpr int maxPiecesPerTurn = 64;
// All trailers of a body together, in bytes.
constexpr size_t trailersLimitBytes = 16'384;

std::optional<uint64_t> parseChunkSize(std::string_view line)
{
    line = line.substr(0, std::min(line.find(';'), line.size()));
    while (!line.empty() && line.back() == ' ') {
        line.remove_suffix(1);
    }
    // Fifteen hex digits are enough for any body and cannot overflow 64 bits.
    if (line.empty() || line.size() > 15) {
        return std::nullopt;
    }
    uint64_t size = 0;
    for (const char digit : line) {
        const auto value = std::string_view("0123456789abcdef").find(static_cast<char>(digit >= 'A' && digit <= 'F' ? digit + 32 : digit));
        if (value == std::string_view::npos) {
            return std::nullopt;
        }
        size = size * 16 + value;
    }
    return size;
}

} // namespace

absl::StatusOr<std::string> readHeadText(LibFiber::ByteChannel &channel, kj::WaitScope &scope, size_t headBytes, AK::Milliseconds deadline)
{
    size_t skipped = 0;
    while (true) {
        // Ignores empty lines before a message (RFC 9112, 2.2), but not without end.
        while (channel.buffered().substr(0, lineEnd.size()) == lineEnd && skipped <= headBytes) {
            channel.consume(lineEnd.size());
            skipped += lineEnd.size();
        }
        const std::optional<size_t> end = channel.find(headEnd);
        if (end && *end <= headBytes) {
            std::string text(channel.buffered().substr(0, *end + lineEnd.size()));
            channel.consume(*end + headEnd.size());
            return text;
        }
        if (channel.buffered().size() > headBytes || skipped > headBytes) {
            return absl::ResourceExhaustedError(absl::StrCat("the head exceeds ", headBytes, " bytes"));
        }
        const bool started = !channel.buffered().empty();
        if (const absl::Status status = channel.fill(scope, deadline); !status.ok()) {
            return started && absl::IsOutOfRange(status) ? absl::InvalidArgumentError("the peer closed the connection inside a message head") : status;
        }
    }
}

BodyReader::BodyReader(LibFiber::ByteChannel &channel, BodyFraming framing)
    : channel(channel)
    , framing(framing)
    , remaining(framing.length)
    , done(framing.kind == FramingKind::None || (framing.kind == FramingKind::Length && framing.length == 0))
{
}

absl::StatusOr<std::optional<std::string>> BodyReader::next(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    if (this->done) {
        return std::optional<std::string>();
    }
    this->yieldBetweenPieces(scope);
    switch (this->framing.kind) {
    case FramingKind::Length:
        return this->nextSized(scope, deadline);
    case FramingKind::Chunked:
        return this->nextChunked(scope, deadline);
    case FramingKind::UntilClose:
        return this->nextUntilClose(scope, deadline);
    case FramingKind::None:
        break;
    }
    return std::optional<std::string>();
}

void BodyReader::yieldBetweenPieces(kj::WaitScope &scope)
{
    // A read that finds an empty buffer waits for bytes, and others run meanwhile.
    this->piecesInTurn = this->channel.buffered().empty() ? 0 : this->piecesInTurn + 1;
    if (this->piecesInTurn > maxPiecesPerTurn) {
        this->piecesInTurn = 0;
        this->channel.eventLoop().yield(scope);
    }
}

AK::Milliseconds BodyReader::now() const
{
    return this->channel.eventLoop().clock().now();
}

bool BodyReader::reusable() const
{
    return this->done && this->framing.kind != FramingKind::UntilClose;
}

bool BodyReader::endsWithConnection() const
{
    return this->framing.kind == FramingKind::UntilClose;
}

absl::Status BodyReader::fillChannel(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    const absl::Status status = this->channel.fill(scope, deadline);
    return absl::IsOutOfRange(status) ? absl::DataLossError("the body ended early") : status;
}

absl::StatusOr<std::string> BodyReader::takeBuffered(kj::WaitScope &scope, uint64_t maxBytes, AK::Milliseconds deadline)
{
    if (this->channel.buffered().empty()) {
        CATKINLINK_TRY(this->fillChannel(scope, deadline));
    }
    const size_t size = std::min<uint64_t>(maxBytes, this->channel.buffered().size());
    std::string data(this->channel.buffered().substr(0, size));
    this->channel.consume(size);
    return data;
}

absl::StatusOr<std::optional<std::string>> BodyReader::nextSized(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    CATKINLINK_ASSIGN(std::string data, this->takeBuffered(scope, this->remaining, deadline));
    this->remaining -= data.size();
    this->done = this->remaining == 0;
    return std::optional<std::string>(std::move(data));
}

absl::StatusOr<std::string> BodyReader::readLine(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    while (true) {
        const std::optional<size_t> end = this->channel.find(lineEnd);
        if (end) {
            std::string line(this->channel.buffered().substr(0, *end));
            this->channel.consume(*end + lineEnd.size());
            return line;
        }
        if (this->channel.buffered().size() > chunkLineLimitBytes) {
            return absl::InvalidArgumentError("a chunk header or trailer line is too long");
        }
        CATKINLINK_TRY(this->fillChannel(scope, deadline));
    }
}

absl::Status BodyReader::readUpToChunkData(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    if (this->chunkPart == ChunkPart::DataEnd) {
        CATKINLINK_ASSIGN(const std::string end, this->readLine(scope, deadline));
        if (!end.empty()) {
            return absl::InvalidArgumentError("a chunk is longer than its declared size");
        }
        this->chunkPart = ChunkPart::Size;
    }
    if (this->chunkPart == ChunkPart::Size) {
        CATKINLINK_ASSIGN(const std::string line, this->readLine(scope, deadline));
        const std::optional<uint64_t> size = parseChunkSize(line);
        if (!size) {
            return absl::InvalidArgumentError("invalid chunk size");
        }
        this->extensionBytes += line.size() - std::min(line.size(), chunkSizeBytes);
        if (this->extensionBytes > extensionsLimitBytes + this->dataBytes) {
            return absl::InvalidArgumentError(absl::StrCat("the chunk extensions exceed ", extensionsLimitBytes, " bytes"));
        }
        this->remaining = *size;
        this->chunkPart = *size == 0 ? ChunkPart::Trailers : ChunkPart::Data;
    }
    while (this->chunkPart == ChunkPart::Trailers && !this->done) {
        CATKINLINK_ASSIGN(const std::string trailer, this->readLine(scope, deadline));
        this->trailerBytes += trailer.size() + lineEnd.size();
        if (this->trailerBytes > trailersLimitBytes) {
            return absl::InvalidArgumentError(absl::StrCat("the trailers exceed ", trailersLimitBytes, " bytes"));
        }
        if (!trailer.empty() && !isFieldLine(trailer)) {
            return absl::InvalidArgumentError("a line of the trailers is no field");
        }
        this->done = trailer.empty();
    }
    return absl::OkStatus();
}

absl::StatusOr<std::optional<std::string>> BodyReader::nextChunked(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    CATKINLINK_TRY(this->readUpToChunkData(scope, deadline));
    if (this->done) {
        return std::optional<std::string>();
    }
    CATKINLINK_ASSIGN(std::string data, this->takeBuffered(scope, this->remaining, deadline));
    this->remaining -= data.size();
    this->dataBytes += data.size();
    this->chunkPart = this->remaining == 0 ? ChunkPart::DataEnd : ChunkPart::Data;
    return std::optional<std::string>(std::move(data));
}

absl::StatusOr<std::optional<std::string>> BodyReader::nextUntilClose(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    if (this->channel.buffered().empty()) {
        const absl::Status status = this->channel.fill(scope, deadline);
        if (absl::IsOutOfRange(status)) {
            this->done = true;
            return std::optional<std::string>();
        }
        CATKINLINK_TRY(status);
    }
    std::string data(this->channel.buffered());
    this->channel.consume(data.size());
    return std::optional<std::string>(std::move(data));
}

absl::StatusOr<std::string> readBody(BodyReader &reader, kj::WaitScope &scope, uint64_t bodyBytes, AK::Milliseconds deadline, BodyShare *share)
{
    std::string body;
    for (size_t pieces = 1;; ++pieces) {
        CATKINLINK_ASSIGN(std::optional<std::string> data, reader.next(scope, deadline));
        if (!data) {
            return body;
        }
        // A read returns bytes that have arrived also after its deadline, and a sender of tiny chunks may be faster than this loop.
        if (pieces % maxPiecesPerTurn == 0 && reader.now() >= deadline) {
            return absl::DeadlineExceededError("the body goes on past the deadline");
        }
        if (body.size() + data->size() > bodyBytes) {
            return absl::ResourceExhaustedError(absl::StrCat("the body exceeds ", bodyBytes, " bytes"));
        }
        if (share != nullptr && !share->grow(data->size())) {
            return absl::AbortedError("other bodies hold the memory for bodies");
        }
        body += *data;
    }
}

} // namespace LibHttpStream
