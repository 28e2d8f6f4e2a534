#pragma once

#include <almondcart/budget/reservation.hpp>
#include <almondcart/core/instant.hpp>
#include <almondcart/document/service_document.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondcart::bench {

struct trace_request
{
    instant at{};
    int router = 0; ///< router on the entry VM that the load balancer chooses
    std::size_t budget = 0;
    request_id id;
    token_count worst_case = 0;
    token_count actual = 0;
    duration service_time{0}; ///< running time at the agent
    duration deadline{0};     ///< time limit for the reservation
};

struct trace_budget
{
    budget_id id;
    budget_preference preference = budget_preference::false_refusals;
    token_count total = 0; ///< at the start
};

struct time_span
{
    instant from{};
    instant to{};

    bool contains(instant time) const { return from <= time && time < to; }
};

struct router_death
{
    int router = 0;
    time_span down;
};

struct top_up
{
    instant at{};
    std::size_t budget = 0;
    token_count total = 0;
};

/// Traffic and faults of one scenario, which are the same for every policy.
struct budget_scenario
{
    std::string name;
    int routers = 0;
    int agents = 0;
    duration length{0};
    std::vector<trace_budget> budgets;
    std::vector<trace_request> requests;
    std::vector<time_span> log_down;
    double lost_response_share = 0; ///< of append calls
    /// A partition isolates the last router and the last third of the agents from the other
    /// routers, the other agents and the log.
    std::vector<time_span> partitions;
    std::vector<router_death> deaths;
    std::vector<top_up> top_ups;
};

/// Creates all scenarios, with random traces drawn from `seed`.
std::vector<budget_scenario> create_budget_scenarios(std::uint64_t seed, int routers);

} // namespace almondcart::bench
