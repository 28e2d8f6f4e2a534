#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondcart {

/// Whole of `text` as an integer of base `base`; nothing for other text or out of range.
template<typename T>
std::optional<T> parse_integer(std::string_view text, int base = 10)
{
    T value{};
    auto const [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// `text` without spaces and tabs at both ends.
std::string_view trim(std::string_view text);

/// `text` in ASCII lower case.
std::string to_lower(std::string_view text);

/// Parts of `text` between separators; empty parts are kept, and empty text has none.
std::vector<std::string_view> split(std::string_view text, char separator);

} // namespace almondcart
