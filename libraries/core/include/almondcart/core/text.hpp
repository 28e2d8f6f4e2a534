#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondcart {

/// Parses all of `text` as an integer of base `base`. Returns nullopt if it is malformed or out of
/// range.
template<typename T>
std::optional<T> parse_integer(std::string_view text, int base = 10)
{
    T value{};
    auto const [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Removes spaces, tabs and carriage returns at both ends of `text`.
std::string_view trim(std::string_view text);

/// Converts ASCII letters of `text` to lower case.
std::string to_lower(std::string_view text);

/// Whether `text` is valid UTF-8.
bool is_valid_utf8(std::string_view text);

/// Splits `text` at each separator. Empty parts are kept, except that empty text and a trailing
/// separator add none.
std::vector<std::string_view> split(std::string_view text, char separator);

} // namespace almondcart
