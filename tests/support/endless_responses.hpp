#pragma once

#include <string>
#include <vector>

namespace almondcart::test_support {

/// Response whose bytes do not end.
struct endless_response
{
    std::string name;
    std::string begin; ///< what follows the first lines of a head that is valid so far
    std::string repeated;
};

inline std::string repeat(std::string const& text)
{
    constexpr int count = 4096;
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

/// Heads that do not end, and bodies that do not end although they bring no content.
inline std::vector<endless_response> endless_responses_without_content()
{
    std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"field value", "X-Odd: ", repeat("xxxxxxxx")},
        {"field lines", "", repeat("X-Odd: 1\r\n")},
        {"chunk size", chunked, repeat("00000000")},
        {"chunk extension", chunked + "1;", repeat("xxxxxxxx")},
        {"trailer line", chunked + "0\r\nX-Odd: ", repeat("xxxxxxxx")},
        {"trailer lines", chunked + "0\r\n", repeat("X-Odd: 1\r\n")},
    };
}

/// Bodies of which more and more content arrives.
inline std::vector<endless_response> endless_bodies()
{
    std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"body", "\r\n", repeat("xxxxxxxx")},
        {"chunks", chunked, repeat("8\r\nxxxxxxxx\r\n")},
        {"chunks of a byte", chunked, repeat("1\r\nx\r\n")},
    };
}

} // namespace almondcart::test_support
