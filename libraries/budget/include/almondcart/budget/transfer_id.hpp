#pragma once

#include <almondcart/core/identifiers.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart {

/// Identifies one transfer of tokens. The receiver increments `number`, so that the sender detects
/// delayed repeats of old transfers by the newest number alone. Text form
/// "name@incarnation:number".
struct transfer_id
{
    process_id receiver;
    std::int64_t number = 0;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(transfer_id const&, transfer_id const&) = default;
};

std::string to_text(transfer_id const& id);
std::optional<transfer_id> parse_transfer_id(std::string_view text);

} // namespace almondcart
