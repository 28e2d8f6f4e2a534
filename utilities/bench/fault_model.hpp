#pragma once

#include <almondcart/core/identifiers.hpp>

#include <random>
#include <vector>

#include "budget_scenario.hpp"
#include "event_queue.hpp"

namespace almondcart::bench {

/// Availability of routers and the log, and reachability between processes, according to the
/// scenario's faults at the current virtual time.
class fault_model
{
public:
    /// Time without contact after which a peer counts as dead.
    static constexpr duration peer_timeout{5000};

    fault_model(budget_scenario const& scenario, event_queue const& queue);

    bool is_log_up() const;
    bool reaches_log(int router) const;
    bool is_up(int router) const { return is_up_at(router, queue_.now()); }
    bool reaches_router(int from, int to) const;
    bool reaches_agent(int router, int agent) const;
    bool loses_response();

    /// Returns `router`, or the next live router that the load balancer chooses if it is down; -1
    /// if all are down.
    int live_router(int router) const;

    process_id const& process_of(int router) const;

    /// Peers that `router` had contact with within the peer timeout.
    std::vector<process_id> live_peers(int router) const;

    /// Whether neither `router` nor an agent that it reaches had contact with `process` within the
    /// peer timeout.
    bool is_dead(int router, process_id const& process) const;

private:
    bool is_up_at(int router, instant time) const;
    bool is_partitioned_at(instant time) const;
    int incarnation_at(int router, instant time) const;
    bool is_isolated_router(int router) const { return router == scenario_.routers - 1; }
    bool is_isolated_agent(int agent) const { return agent >= scenario_.agents * 2 / 3; }
    bool receives_from(int router, int peer, instant time) const;

    budget_scenario const& scenario_;
    event_queue const& queue_;
    std::mt19937_64 random_{7};
    std::vector<std::vector<process_id>> processes_; ///< by router and incarnation
};

} // namespace almondcart::bench
