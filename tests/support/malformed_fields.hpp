#pragma once

#include <string>
#include <vector>

namespace almondcart::test_support {

/// Lines of a head in which the name of a field holds a blank or a control byte, is missing, or
/// stands in a line before.
inline std::vector<std::string> malformed_field_lines()
{
    using namespace std::string_literals;
    return {
        "X-A : 1"s,
        "X A: 1"s,
        "X\tA: 1"s,
        " X-A: 1"s,
        "X-A\x01: 1"s,
        "X\0A: 1"s,
        "X\rA: 1"s,
        "X-A\x7f: 1"s,
        ": 1"s,
        "Content-Length : 2"s,
        "Content-Length\x0b: 2"s,
        "Transfer-Encoding : chunked"s,
        "X-A: 1\r\n Content-Length: 2"s,
        "X-A: 1\r\n\tfolded"s};
}

} // namespace almondcart::test_support
