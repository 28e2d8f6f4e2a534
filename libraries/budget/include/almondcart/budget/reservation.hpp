#pragma once

#include <almondcart/ledger/records.hpp>

#include <cstdint>
#include <vector>

namespace almondcart {

/// Worst case of one attempt of a request, set aside before dispatch.
struct reservation
{
    request_id request;
    int attempt = 1;
    budget_id budget;
    std::vector<grant_part> parts; ///< used up in this order
    std::int64_t started_ms = 0;   ///< newest log time known at dispatch

    friend bool operator==(reservation const&, reservation const&) = default;
};

token_count total_of(std::vector<grant_part> const& parts);

/// The first `tokens` of `parts`, in order. Router and agent both use it, so that they state equal
/// usage for one run. Less than `tokens` if the parts hold less.
std::vector<grant_part> first_tokens_of(std::vector<grant_part> const& parts, token_count tokens);

/// `reserved` without the tokens of `used`, which are its first tokens.
std::vector<grant_part>
rest_of(std::vector<grant_part> const& reserved, std::vector<grant_part> const& used);

} // namespace almondcart
