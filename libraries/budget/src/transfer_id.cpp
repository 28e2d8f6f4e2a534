#include <almondcart/budget/transfer_id.hpp>

#include <charconv>

namespace almondcart {

std::string to_text(transfer_id const& id)
{
    return to_text(id.receiver) + ":" + std::to_string(id.number);
}

std::optional<transfer_id> parse_transfer_id(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto receiver = parse_process_id(text.substr(0, colon));
    auto const digits = text.substr(colon + 1);
    std::int64_t number = 0;
    auto const [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (!receiver || ec != std::errc{} || end != digits.data() + digits.size() || number < 0)
        return std::nullopt;
    return transfer_id{std::move(*receiver), number};
}

} // namespace almondcart
