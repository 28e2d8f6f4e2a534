#include "token_usage.hpp"

#include <almondcart/core/text.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace almondcart {

namespace {

/// Value of `name=value` in a log line, or empty text if it has none.
std::string_view value_of(std::string_view line, std::string_view name)
{
    std::string const pattern = " " + std::string(name) + "=";
    auto const position = line.find(pattern);
    if (position == std::string_view::npos)
        return {};
    auto const value = line.substr(position + pattern.size());
    return value.substr(0, value.find_first_of(" \n\r"));
}

std::optional<std::int64_t> integer_of(std::string_view line, std::string_view name)
{
    return parse_integer<std::int64_t>(value_of(line, name));
}

void add_outcome(token_usage::account& it, std::string_view line)
{
    auto const outcome = value_of(line, "outcome");
    auto const tokens = integer_of(line, "tokens").value_or(0);
    (outcome == "served" ? it.served : it.failed) += tokens;
    if (outcome == "budget_exhausted")
        ++it.exhausted;
    if (outcome == "budget_unavailable")
        ++it.unavailable;
}

} // namespace

void token_usage::add_line(std::string_view line)
{
    auto const name = value_of(line, "account");
    if (name.empty() || name == "-")
        return;
    bool const is_outcome = line.find("[forward]") != std::string_view::npos;
    bool const is_total = line.find("[config]") != std::string_view::npos;
    bool const is_draw = line.find("[prepaid]") != std::string_view::npos;
    if (!is_outcome && !is_total && !is_draw)
        return;
    auto& it = accounts_[std::string(name)];
    if (is_outcome)
        add_outcome(it, line);
    else if (is_total)
        it.total = std::max(it.total, integer_of(line, "prepaid").value_or(0));
    it.written_off += integer_of(line, "written_off").value_or(0);
    it.given += integer_of(line, "gives").value_or(0);
    it.received += integer_of(line, "received").value_or(0);
}

std::string token_usage::to_text() const
{
    std::vector<std::pair<std::string, account>> rows(accounts_.begin(), accounts_.end());
    std::ranges::stable_sort(
        rows,
        std::greater<>(),
        [](auto const& it) { return it.second.exhausted + it.second.unavailable; });
    auto text = fmt::format(
        "{:<20} {:>12} {:>7} {:>7} {:>11} {:>9} {:>7} {:>9} {:>11}\n",
        "account",
        "total",
        "served",
        "failed",
        "written_off",
        "transfers",
        "rest",
        "exhausted",
        "unavailable");
    for (auto const& [name, it] : rows)
    {
        auto const share = [total = it.total](std::int64_t tokens)
        { return total <= 0 ? 0.0 : static_cast<double>(tokens) / static_cast<double>(total); };
        text += fmt::format(
            "{:<20} {:>12} {:>7.3f} {:>7.3f} {:>11.3f} {:>9.3f} {:>7.3f} {:>9} {:>11}\n",
            name,
            it.total,
            share(it.served),
            share(it.failed),
            share(it.written_off),
            share(it.lost_in_transfers()),
            share(it.rest()),
            it.exhausted,
            it.unavailable);
    }
    return text;
}

} // namespace almondcart
