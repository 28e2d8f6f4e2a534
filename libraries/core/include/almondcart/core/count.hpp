#pragma once

#include <almondcart/core/text.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

namespace almondcart {

/// Largest number of tokens, milliseconds or records that is taken from outside the process. It is
/// far above what occurs, and sums of thousands of such numbers fit 64 bits.
inline constexpr std::int64_t count_limit = 1'000'000'000'000'000;

/// Parses decimal digits as a count. A larger number than `count_limit` counts as the limit: a peer
/// that states the largest number of its own means that there is none. Returns nothing if `text` is
/// no number or negative.
inline std::optional<std::int64_t> parse_count(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    if (text.empty() || text.find_first_not_of(digits) != std::string_view::npos)
        return std::nullopt;
    auto const n = parse_integer<std::int64_t>(text);
    return n ? std::min(*n, count_limit) : count_limit;
}

} // namespace almondcart
