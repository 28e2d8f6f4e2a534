#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/document/service_document.hpp>
#include <almondcart/ledger/records.hpp>

#include <cstdint>

namespace almondcart {

/// How much of a budget a router holds ahead of demand.
struct sizing_policy
{
    duration horizon;      ///< duration of demand that the free tokens should cover
    double fraction;       ///< of the unspent tokens, a cap on what all routers hold together
    double draw_below;     ///< draw when free tokens fall below this multiple of the target
    double return_above;   ///< return when they exceed this multiple
    duration return_after; ///< time between a draw or return and the next return
};

sizing_policy policy_of(budget_preference preference);

/// What a router knows about a budget when it sizes its grants.
struct sizing_input
{
    token_count unspent = 0;     ///< total minus billed
    token_count unallocated = 0; ///< not under any grant
    std::int64_t own_demand = 0; ///< worst-case tokens per second
    std::int64_t all_demand = 0; ///< of all live routers, including this one
    token_count free = 0;        ///< free tokens of this router
    token_count waiting = 0;     ///< sum of the worst cases of queued reservations
};

/// Free tokens that the router should hold: demand times horizon, capped at its share by demand of
/// a fraction of the unspent tokens, so that grants shrink as the budget runs out.
token_count target_free(sizing_policy const& policy, sizing_input const& input);

/// Tokens to draw now; 0 if none.
token_count tokens_to_draw(sizing_policy const& policy, sizing_input const& input);

/// Idle tokens to return now; 0 if none.
token_count tokens_to_return(sizing_policy const& policy, sizing_input const& input);

} // namespace almondcart
