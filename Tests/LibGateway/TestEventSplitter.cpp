#include <LibGateway/StreamContinuation.h>
#include <algorithm>
#include <ctime>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

struct PatternCase {
    const char *name;
    std::string pattern;
    /// Bytes fed at a time.
    size_t pieceBytes;
};

class EventSplitterCostTest : public testing::TestWithParam<PatternCase>
{
protected:
    /// Processor time in s to split so many bytes, as a stream is read: all events are taken after each piece.
    static double costOf(size_t bytes)
    {
        std::string text;
        while (text.size() < bytes) {
            text += GetParam().pattern;
        }
        const auto processorTime = [] {
            timespec time{};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
        };
        const double startedAt = processorTime();
        EventSplitter splitter;
        for (size_t at = 0; at < text.size(); at += GetParam().pieceBytes) {
            splitter.feed(std::string_view(text).substr(at, GetParam().pieceBytes));
            while (takeEvents(splitter, std::nullopt, false).isFull) {}
        }
        return processorTime() - startedAt;
    }
};

// Guards against a reader that searches all buffered bytes for each piece: the time grew with the square of the bytes, and an upstream whose lines never end an
// event kept an entry from all its other clients for seconds.
TEST_P(EventSplitterCostTest, GrowsWithTheBytes)
{
    constexpr size_t bytes = 16UL << 10;
    constexpr size_t factor = 16;
    // Halfway, in orders of magnitude, between a cost in proportion to the bytes and one in proportion to their square.
    constexpr double mostGrowth = 64;
    double fewer = costOf(bytes);
    double more = costOf(factor * bytes);
    // The least of three runs, because others may use the caches of the processor.
    for (int run = 0; run < 2; ++run) {
        fewer = std::min(fewer, costOf(bytes));
        more = std::min(more, costOf(factor * bytes));
    }
    EXPECT_LT(more, mostGrowth * fewer);
}

INSTANTIATE_TEST_SUITE_P(Table, EventSplitterCostTest,
                         testing::Values(PatternCase{"lines", "y\r\n", 3}, PatternCase{"no_line_end", "y", 1}, PatternCase{"carriage_returns", "\r", 1},
                                         PatternCase{"ids", "id: 1\n", 6}, PatternCase{"comment_lines", ":\n", 2}, PatternCase{"comments", ":\n\n", 3},
                                         PatternCase{"empty_lines", "\n", 1}, PatternCase{"tiny_events", "id:1\n\n", 65'536},
                                         PatternCase{"empty_lines_in_one_piece", "\n", 1UL << 20}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LineEndCase {
    const char *name;
    std::string text;
    std::vector<std::string> events;
    size_t partialBytes;
};

class LineEndTest : public testing::TestWithParam<LineEndCase>
{
};

// Guards against an end of an event that is missed because of the pieces in which it arrives.
TEST_P(LineEndTest, EndsEventsInWhateverPieces)
{
    for (size_t pieceBytes = 1; pieceBytes <= GetParam().text.size(); ++pieceBytes) {
        EventSplitter splitter;
        std::vector<std::string> events;
        for (size_t at = 0; at < GetParam().text.size(); at += pieceBytes) {
            splitter.feed(std::string_view(GetParam().text).substr(at, pieceBytes));
            while (const std::optional<StreamEvent> event = splitter.next()) {
                events.push_back(event->text);
            }
        }
        EXPECT_EQ(events, GetParam().events) << "pieces of " << pieceBytes;
        EXPECT_EQ(splitter.partialBytes(), GetParam().partialBytes) << "pieces of " << pieceBytes;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, LineEndTest,
                         testing::Values(LineEndCase{"line_feeds", "id: 1\n\nid: 2\n\n", {"id: 1\n\n", "id: 2\n\n"}, 0},
                                         LineEndCase{"both", "id: 1\r\n\r\nid: 2\r\n\r\n", {"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, 0},
                                         LineEndCase{"mixed", "id: 1\n\r\nid: 2\r\n\nid", {"id: 1\n\r\n", "id: 2\r\n\n"}, 2},
                                         LineEndCase{"empty_line_after_an_event", "id: 1\n\n\n", {"id: 1\n\n", "\n"}, 0},
                                         LineEndCase{"lone_carriage_returns", "id: 1\r\rid: 2\r\r", {}, 14}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
