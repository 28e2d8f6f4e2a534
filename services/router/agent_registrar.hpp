#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/routing/membership.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "fleet_state.hpp"

namespace almondcart {

/// Registers agent incarnations on the budget shards. An agent gets work only after every shard has
/// applied its start record, because grant recovery queries exactly the registered incarnations.
class agent_registrar
{
public:
    agent_registrar(
        fleet_state const& state,
        membership const& members,
        clock_function clock,
        std::function<std::int64_t(int shard, record_body)> submit);

    /// Handles an agent's heartbeat and submits its registration if that is missing and due.
    /// Returns whether the incarnation is registered.
    bool handle_heartbeat(process_id const& agent, std::string const& upstream);

    /// Records that a drained agent stops.
    void handle_stop(process_id const& agent);

private:
    fleet_state const& state_;
    membership const& members_;
    clock_function clock_;
    std::function<std::int64_t(int shard, record_body)> submit_;
    std::map<process_id, instant> first_heartbeats_; ///< of incarnations that are not registered
    std::map<process_id, instant> submitted_;
};

} // namespace almondcart
