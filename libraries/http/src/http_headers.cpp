#include <almondcart/http/http_headers.hpp>

#include <algorithm>

namespace almondcart {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::optional<std::string_view> find_header(http_headers const& headers, std::string_view name)
{
    for (auto const& [key, value] : headers)
    {
        if (equals_ignoring_ascii_case(key, name))
            return value;
    }
    return std::nullopt;
}

bool equals_ignoring_ascii_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

} // namespace almondcart
