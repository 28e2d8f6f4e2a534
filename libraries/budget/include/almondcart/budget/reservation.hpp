#pragma once

#include <almondcart/ledger/records.hpp>

#include <cstdint>
#include <vector>

namespace almondcart {

/// Tokens reserved before dispatch for the worst case of one attempt of a request.
struct reservation
{
    request_id request;
    int attempt = 1;
    budget_id budget;
    std::vector<grant_part> parts; ///< used up in this order
    std::int64_t started_ms = 0;   ///< newest log time known to the router at dispatch

    friend bool operator==(reservation const&, reservation const&) = default;
};

token_count total_of(std::vector<grant_part> const& parts);

/// The first `tokens` tokens of `parts` in order, or fewer if the parts hold fewer. Router and
/// agent both use it, so that they report equal usage for the same run.
std::vector<grant_part> first_tokens_of(std::vector<grant_part> const& parts, token_count tokens);

/// `reserved` without its first tokens `used`.
std::vector<grant_part>
remaining_parts(std::vector<grant_part> const& reserved, std::vector<grant_part> const& used);

} // namespace almondcart
