#pragma once

#include <almondcart/budget/budget_holder.hpp>
#include <almondcart/budget/transfer_broker.hpp>
#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/routing/crash_suspects.hpp>
#include <almondcart/routing/membership.hpp>
#include <almondcart/routing/retry_budget.hpp>

#include <cstdint>
#include <functional>

#include "fleet_state.hpp"
#include "request_directory.hpp"
#include "upstream_pool.hpp"

namespace almondcart {

/// Components of the router that request sessions use. All of them outlive the sessions.
struct router_context
{
    process_id self;
    event_loop& loop;
    http_client& client;
    json_rpc_client& rpc;
    event_journal& journal;
    fleet_state& state;
    budget_holder& holder;
    transfer_broker& broker;
    membership& members;
    upstream_pools& pools;
    retry_budget& retries;
    crash_suspects& suspects;
    request_directory& directory;

    /// Queues a record, which is sent until it is on the log, and returns its sequence.
    std::function<std::int64_t(record_body)> submit;
};

} // namespace almondcart
