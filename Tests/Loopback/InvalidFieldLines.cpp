#include "InvalidFieldLines.h"

namespace Loopback
{

std::vector<InvalidFieldLine> invalidFieldLines(size_t bodyBytes)
{
    const std::string length = std::to_string(bodyBytes);
    const std::string nul(1, '\0');
    return {
        {"blank_before", " X-Odd: 1"},
        {"tab_before", "\tX-Odd: 1"},
        {"blank_in", "X Odd: 1"},
        {"tab_in", "X\tOdd: 1"},
        {"blank_after", "X-Odd : 1"},
        {"tab_after", "X-Odd\t: 1"},
        {"control_before", "\x01X-Odd: 1"},
        {"control_in", "X\x02Odd: 1"},
        {"control_after", "X-Odd\x1f: 1"},
        {"escape_in", "X\x1b[Odd: 1"},
        {"delete_in", "X\x7fOdd: 1"},
        {"vertical_tab_after", "X-Odd\x0b: 1"},
        {"nul_in", "X" + nul + "Odd: 1"},
        {"nul_before", nul + "X-Odd: 1"},
        {"nul_in_value", "X-Odd: 1" + nul + "2"},
        {"carriage_return_in", "X\rOdd: 1"},
        {"carriage_return_after", "X-Odd\r: 1"},
        {"carriage_return_before", "\rX-Odd: 1"},
        {"line_after_a_carriage_return", "X-Odd: 1\rX-Second: 2"},
        {"newline_in", "X\nOdd: 1"},
        {"newline_after", "X-Odd\n: 1"},
        {"newline_before", "\nX-Odd: 1"},
        {"line_after_a_newline", "X-Odd: 1\nX-Second: 2"},
        {"folded_after_a_newline", "X-Odd: 1\n 2"},
        {"folded", "X-Odd: 1\r\n 2"},
        {"no_name", ": 1"},
        {"blank_for_a_name", " : 1"},
        {"no_colon", "X-Odd"},
        {"only_a_blank", " "},
        {"parentheses", "X(Odd): 1"},
        {"quotes", "\"X-Odd\": 1"},
        {"slash", "X/Odd: 1"},
        {"comma", "X,Odd: 1"},
        {"at", "X@Odd: 1"},
        {"high_byte", "X\xe9Odd: 1"},
        {"status_line", "HTTP/1.1 200 OK"},
        {"length_blank_before", " Content-Length: " + length, true},
        {"length_blank_after", "Content-Length : " + length, true},
        {"length_tab_after", "Content-Length\t: " + length, true},
        {"length_blank_in", "Content Length: " + length, true},
        {"length_control_after", "Content-Length\x01: " + length, true},
        {"length_control_before",
         "\x0b"
         "Content-Length: "
             + length,
         true},
        {"length_after_a_newline", "X-Odd: 1\nContent-Length: " + length, true},
        {"length_after_a_carriage_return", "X-Odd: 1\rContent-Length: " + length, true},
        {"chunks_blank_before", " Transfer-Encoding: chunked", true},
        {"chunks_blank_after", "Transfer-Encoding : chunked", true},
        {"chunks_tab_after", "Transfer-Encoding\t: chunked", true},
        {"chunks_blank_in", "Transfer Encoding: chunked", true},
        {"chunks_control_after", "Transfer-Encoding\x1f: chunked", true},
    };
}

} // namespace Loopback
