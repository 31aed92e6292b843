#include <AK/Text.h>
#include <LibHttpStream/MessageReader.h>
#include <algorithm>
#include <ctime>
#include <functional>
#include <gtest/gtest.h>

namespace
{

using namespace LibHttpStream;

constexpr AK::Milliseconds testTimeout = 60'000;

double processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::string repeat(std::string_view pattern, size_t bytes)
{
    std::string text;
    while (text.size() < bytes) {
        text += pattern;
    }
    return text;
}

/// Reads what a peer sends in pieces of `pieceBytes`.
void readPieces(const std::string &text, size_t pieceBytes, const std::function<void(LibFiber::ByteChannel &, kj::WaitScope &)> &read)
{
    LibFiber::Loop loop;
    kj::TwoWayPipe pipe = kj::newTwoWayPipe();
    LibFiber::ByteChannel channel(loop, kj::mv(pipe.ends[0]));
    kj::Promise<void> sending = loop.fiber([&](kj::WaitScope &scope) {
        for (size_t at = 0; at < text.size(); at += pieceBytes) {
            pipe.ends[1]->write(text.data() + at, std::min(pieceBytes, text.size() - at)).wait(scope);
        }
        pipe.ends[1]->shutdownWrite();
    });
    read(channel, loop.rootScope());
}

void readHead(const std::string &text)
{
    readPieces(text, 1, [&](auto &channel, auto &scope) {
        const AK::Milliseconds deadline = channel.eventLoop().clock().now() + testTimeout;
        EXPECT_FALSE(readHeadText(channel, scope, text.size() + 1, deadline).ok());
    });
}

// As a call does that is looked at whenever bytes arrive.
void readHeadAgainAndAgain(const std::string &text)
{
    readPieces(text, 1, [&](auto &channel, auto &scope) {
        absl::Status status = absl::DeadlineExceededError("");
        while (absl::IsDeadlineExceeded(status)) {
            channel.whenReadable().wait(scope);
            status = readHeadText(channel, scope, text.size() + 1, channel.eventLoop().clock().now()).status();
        }
        EXPECT_TRUE(absl::IsInvalidArgument(status)) << status;
    });
}

void readChunks(const std::string &text)
{
    readPieces(text, text.size(), [&](auto &channel, auto &scope) {
        BodyReader reader(channel, BodyFraming{FramingKind::Chunked, 0});
        EXPECT_FALSE(readBody(reader, scope, text.size(), channel.eventLoop().clock().now() + testTimeout).ok());
    });
}

void filterHeaders(const std::string &text)
{
    Headers headers{{"Connection", text}};
    for (size_t at = 0; at < text.size(); at += 4) {
        headers.push_back({AK::concat("h", at), "1"});
    }
    EXPECT_EQ(endToEndHeaders(headers).size(), headers.size() - 1);
}

struct ReaderCase {
    const char *name;
    std::function<void(const std::string &)> read;
    std::string pattern;
    size_t bytes;
};

class ReaderCostTest : public testing::TestWithParam<ReaderCase>
{
protected:
    static double costOf(size_t bytes)
    {
        const std::string text = repeat(GetParam().pattern, bytes);
        double least = testTimeout;
        // The least of three runs, because others may use the caches of the processor.
        for (int run = 0; run < 3; ++run) {
            const double startedAt = processorTime();
            GetParam().read(text);
            least = std::min(least, processorTime() - startedAt);
        }
        return least;
    }
};

// Guards against a reader whose time grows with the square of what a peer sends: a slow or hostile peer then keeps the process from all others.
TEST_P(ReaderCostTest, GrowsWithTheBytes)
{
    constexpr size_t factor = 16;
    // Halfway, in orders of magnitude, between a cost in proportion to the bytes and one in proportion to their square.
    constexpr double mostGrowth = 64;
    EXPECT_LT(costOf(factor * GetParam().bytes), mostGrowth * costOf(GetParam().bytes));
}

INSTANTIATE_TEST_SUITE_P(Table, ReaderCostTest,
                         testing::Values(ReaderCase{"head", readHead, "x", 4'096}, ReaderCase{"head_of_carriage_returns", readHead, "\r", 4'096},
                                         ReaderCase{"head_of_lines", readHead, "a:\r\n", 4'096},
                                         ReaderCase{"head_read_again", readHeadAgainAndAgain, "\r", 4'096},
                                         ReaderCase{"chunks_of_a_byte", readChunks, "1\r\ny\r\n", 16'384},
                                         ReaderCase{"names_in_connection", filterHeaders, "a,", 2'048}),
                         [](const auto &info) { return std::string(info.param.name); });

struct TurnCase {
    const char *name;
    FramingKind kind;
    std::string pattern;
};

class BodyTurnTest : public testing::TestWithParam<TurnCase>
{
};

// Guards against a body that keeps the loop while its pieces arrive faster than they are read.
TEST_P(BodyTurnTest, LetsOthersRunBetweenThePieces)
{
    constexpr size_t bytes = 1UL << 16;
    const std::string text = repeat(GetParam().pattern, bytes);
    readPieces(text, text.size(), [&](auto &channel, auto &scope) {
        size_t turns = 0;
        kj::Promise<void> other = channel.eventLoop().fiber([&](kj::WaitScope &inner) {
            while (true) {
                ++turns;
                channel.eventLoop().yield(inner);
            }
        });
        // All of it is there before the body is read.
        while (channel.buffered().size() < text.size()) {
            ASSERT_TRUE(channel.fill(scope, channel.eventLoop().clock().now() + testTimeout).ok());
        }
        turns = 0;
        BodyReader reader(channel, BodyFraming{GetParam().kind, text.size()});
        size_t pieces = 0;
        while (reader.next(scope, channel.eventLoop().clock().now() + testTimeout).ok()) {
            ++pieces;
        }
        EXPECT_GE(pieces, bytes / 8);
        constexpr size_t mostPiecesInTurn = 128;
        EXPECT_GE(turns * mostPiecesInTurn, pieces);
    });
}

INSTANTIATE_TEST_SUITE_P(Table, BodyTurnTest,
                         testing::Values(TurnCase{"chunks_of_a_byte", FramingKind::Chunked, "1\r\ny\r\n"},
                                         TurnCase{"empty_lines", FramingKind::Chunked, "2\r\n\n\n\r\n"}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
