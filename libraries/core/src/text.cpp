#include <almondcart/core/text.hpp>

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

} // namespace almondcart
