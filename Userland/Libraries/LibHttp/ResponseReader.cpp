#include <LibHttp/ResponseReader.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>

namespace LibHttp
{

namespace
{

using LibHttpStream::FramingKind;

constexpr size_t bufferBytes = size_t{64} << 10;
constexpr size_t headLimitBytes = size_t{16} << 10;
// Longest line before a chunk or in the trailers, chunk extensions included.
constexpr size_t chunkLineLimitBytes = 1024;
constexpr AK::Milliseconds silenceLimitMs = 30'000;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr int hundred = 100;

absl::Status cut()
{
    return absl::DataLossError("response body was cut");
}

std::optional<uint64_t> parseChunkSize(std::string_view line)
{
    line = line.substr(0, line.find_first_of("; \t\r\n"));
    uint64_t size = 0;
    const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
    return error == std::errc() && last == line.data() + line.size() ? std::optional(size) : std::nullopt;
}

} // namespace

ResponseReader::ResponseReader(std::unique_ptr<ClientSocket> socket, AK::Milliseconds deadline)
    : socket(std::move(socket))
    , deadline(deadline)
    , lastReceivedAt(AK::SystemClock().now())
    , buffer(bufferBytes, '\0')
{
}

absl::StatusOr<LibHttpStream::ResponseHead> ResponseReader::readHead(const std::string &method)
{
    size_t skipped = 0;
    // Bytes of the buffer without the end of a head.
    size_t searched = 0;
    while (true) {
        while (this->buffered().starts_with(lineEnd) && skipped <= headLimitBytes) {
            this->begin += lineEnd.size();
            skipped += lineEnd.size();
            searched = 0;
        }
        const size_t size = this->buffered().find(headEnd, searched);
        // The end of the head may begin in the last bytes.
        searched = this->buffered().size() - std::min(this->buffered().size(), headEnd.size() - 1);
        if (skipped + std::min(size, this->buffered().size()) > headLimitBytes) {
            return absl::DataLossError(AK::concat("head of the response exceeds ", headLimitBytes, " bytes"));
        }
        if (size == std::string_view::npos) {
            CATKINLINK_ASSIGN(const bool more, this->fill());
            if (!more) {
                return absl::DataLossError("response head was cut");
            }
            continue;
        }
        absl::StatusOr<LibHttpStream::ResponseHead> head = LibHttpStream::parseResponseHead(this->buffered().substr(0, size + lineEnd.size()));
        if (!head.ok()) {
            return absl::DataLossError(AK::concat("head of the response is malformed: ", head.status().message()));
        }
        this->begin += size + headEnd.size();
        skipped += size + headEnd.size();
        searched = 0;
        if (head->status / hundred == 1) {
            continue;
        }
        const auto framing = LibHttpStream::responseBodyFraming(method, *head);
        if (!framing.ok()) {
            return absl::DataLossError(AK::concat("body of the response: ", framing.status().message()));
        }
        this->headRead = true;
        this->bodyFraming = *framing;
        this->remaining = framing->length;
        return head;
    }
}

absl::StatusOr<std::string_view> ResponseReader::peek()
{
    const FramingKind kind = this->bodyFraming.kind;
    if (kind == FramingKind::Chunked) {
        CATKINLINK_TRY(this->readUpToChunkData());
    }
    if (kind == FramingKind::None || (kind != FramingKind::UntilClose && this->remaining == 0)) {
        return std::string_view();
    }
    if (this->buffered().empty()) {
        CATKINLINK_ASSIGN(const bool more, this->fill());
        if (!more) {
            return kind == FramingKind::UntilClose ? absl::StatusOr<std::string_view>(std::string_view()) : cut();
        }
    }
    return kind == FramingKind::UntilClose ? this->buffered() : this->buffered().substr(0, this->remaining);
}

void ResponseReader::consume(size_t bytes)
{
    this->begin += bytes;
    if (this->bodyFraming.kind != FramingKind::UntilClose) {
        this->remaining -= bytes;
    }
    if (this->remaining == 0 && this->chunkPart == ChunkPart::Data) {
        this->chunkPart = ChunkPart::DataEnd;
    }
}

const LibHttpStream::BodyFraming &ResponseReader::framing() const
{
    return this->bodyFraming;
}

void ResponseReader::waitForActivity()
{
    (void)this->socket->waitReadable(this->lastReceivedAt + silenceLimitMs);
}

void ResponseReader::cancel()
{
    this->socket->cancel();
}

std::string_view ResponseReader::buffered() const
{
    return std::string_view(this->buffer).substr(this->begin, this->end - this->begin);
}

absl::StatusOr<bool> ResponseReader::fill()
{
    if (this->begin > 0) {
        std::memmove(this->buffer.data(), this->buffer.data() + this->begin, this->end - this->begin);
        this->end -= this->begin;
        this->begin = 0;
    }
    // Before the head a server may work on the response for as long as the caller waits.
    const AK::Milliseconds silenceEnd = this->headRead ? this->lastReceivedAt + silenceLimitMs : this->deadline;
    const auto size = this->socket->read(this->buffer.data() + this->end, this->buffer.size() - this->end, std::min(this->deadline, silenceEnd));
    if (absl::IsDeadlineExceeded(size.status()) && silenceEnd < this->deadline) {
        return absl::DataLossError(AK::concat("the server sent nothing for ", silenceLimitMs, " ms"));
    }
    CATKINLINK_TRY(size.status());
    this->lastReceivedAt = AK::SystemClock().now();
    this->end += *size;
    return *size > 0;
}

absl::StatusOr<std::string_view> ResponseReader::peekLine()
{
    while (true) {
        const size_t size = this->buffered().find('\n');
        if (std::min(size, this->buffered().size()) > chunkLineLimitBytes) {
            return absl::DataLossError(AK::concat("a line of the chunked body exceeds ", chunkLineLimitBytes, " bytes"));
        }
        if (size != std::string_view::npos) {
            return this->buffered().substr(0, size + 1);
        }
        CATKINLINK_ASSIGN(const bool more, this->fill());
        if (!more) {
            return cut();
        }
    }
}

absl::Status ResponseReader::readUpToChunkData()
{
    while (this->chunkPart != ChunkPart::Data && this->chunkPart != ChunkPart::End) {
        CATKINLINK_ASSIGN(const std::string_view line, this->peekLine());
        if (!line.ends_with(lineEnd)) {
            return absl::DataLossError("a line of the chunked body has no carriage return");
        }
        const bool empty = line == lineEnd;
        if (this->chunkPart == ChunkPart::Size) {
            const std::optional<uint64_t> size = parseChunkSize(line);
            if (!size) {
                return absl::DataLossError("size of a chunk is malformed");
            }
            this->remaining = *size;
            this->chunkPart = *size > 0 ? ChunkPart::Data : ChunkPart::Trailers;
        } else if (this->chunkPart == ChunkPart::DataEnd) {
            if (!empty) {
                return absl::DataLossError("data of a chunk is longer than its size");
            }
            this->chunkPart = ChunkPart::Size;
        } else {
            this->trailerBytes += line.size();
            if (this->trailerBytes > headLimitBytes) {
                return absl::DataLossError(AK::concat("trailers of the response exceed ", headLimitBytes, " bytes"));
            }
            if (!empty && !LibHttpStream::isFieldLine(line.substr(0, line.size() - lineEnd.size()))) {
                return absl::DataLossError("a line of the trailers is no field");
            }
            this->chunkPart = empty ? ChunkPart::End : ChunkPart::Trailers;
        }
        this->begin += line.size();
    }
    return absl::OkStatus();
}

} // namespace LibHttp
