#pragma once

#include <almondcart/core/identifiers.hpp>

#include <random>
#include <vector>

#include "budget_scenario.hpp"
#include "event_queue.hpp"

namespace almondcart::bench {

/// Who is up and who reaches whom, by the scenario's faults and virtual time.
class fault_model
{
public:
    /// Silence after which a peer counts as dead.
    static constexpr duration dead_time{5000};

    fault_model(budget_scenario const& scenario, event_queue const& queue);

    bool is_log_up() const;
    bool reaches_log(int router) const;
    bool is_up(int router) const { return is_up_at(router, queue_.now()); }
    bool reaches_router(int from, int to) const;
    bool reaches_agent(int router, int agent) const;
    bool loses_answer();

    /// Router that the load balancer chooses in place of `router` when that is down; -1 if none.
    int live_router(int router) const;

    process_id const& process_of(int router) const;

    /// Routers that `router` heard within the dead time.
    std::vector<process_id> live_peers(int router) const;

    /// Neither `router` nor an agent that it reaches heard `process` within the dead time.
    bool is_dead(int router, process_id const& process) const;

private:
    bool is_up_at(int router, instant time) const;
    bool is_cut_at(instant time) const;
    int incarnation_at(int router, instant time) const;
    bool is_far_router(int router) const { return router == scenario_.routers - 1; }
    bool is_far_agent(int agent) const { return agent >= scenario_.agents * 2 / 3; }
    bool heard(int router, int peer, instant time) const;

    budget_scenario const& scenario_;
    event_queue const& queue_;
    std::mt19937_64 random_{7};
    std::vector<std::vector<process_id>> processes_; ///< by router and incarnation
};

} // namespace almondcart::bench
