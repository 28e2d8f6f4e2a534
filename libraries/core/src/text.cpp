#include <almondcart/core/text.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace almondcart {

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string to_lower(std::string_view text)
{
    std::string lower(text);
    for (char& c : lower)
    {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty())
    {
        auto const end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}

namespace {

/// First bytes of one length, and the range of the second byte, which excludes overlong forms,
/// surrogates and values above U+10FFFF.
struct utf8_form
{
    unsigned char first_min;
    unsigned char first_max;
    unsigned char second_min;
    unsigned char second_max;
    std::size_t length;
};

constexpr std::array<utf8_form, 8> utf8_forms{{
    {0xc2, 0xdf, 0x80, 0xbf, 2},
    {0xe0, 0xe0, 0xa0, 0xbf, 3},
    {0xe1, 0xec, 0x80, 0xbf, 3},
    {0xed, 0xed, 0x80, 0x9f, 3},
    {0xee, 0xef, 0x80, 0xbf, 3},
    {0xf0, 0xf0, 0x90, 0xbf, 4},
    {0xf1, 0xf3, 0x80, 0xbf, 4},
    {0xf4, 0xf4, 0x80, 0x8f, 4},
}};

constexpr unsigned char first_non_ascii = 0x80;

/// Returns the length of the non-ASCII character at the start of `text`, or 0 if it is not valid.
std::size_t utf8_length(std::string_view text)
{
    auto const byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    auto const form = std::ranges::find_if(
        utf8_forms,
        [&](auto const& it) { return byte(0) >= it.first_min && byte(0) <= it.first_max; });
    if (form == utf8_forms.end() || text.size() < form->length || byte(1) < form->second_min ||
        byte(1) > form->second_max)
        return 0;
    constexpr unsigned char continuation_mask = 0xc0;
    for (std::size_t i = 2; i < form->length; ++i)
    {
        if ((byte(i) & continuation_mask) != first_non_ascii)
            return 0;
    }
    return form->length;
}

} // namespace

bool is_valid_utf8(std::string_view text)
{
    while (!text.empty())
    {
        bool const is_ascii = static_cast<unsigned char>(text.front()) < first_non_ascii;
        auto const n = is_ascii ? 1 : utf8_length(text);
        if (n == 0)
            return false;
        text.remove_prefix(n);
    }
    return true;
}

} // namespace almondcart
