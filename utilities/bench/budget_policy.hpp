#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "budget_oracle.hpp"
#include "event_queue.hpp"
#include "fault_model.hpp"
#include "log_model.hpp"

namespace almondcart::bench {

/// Simulated environment of the policy under test.
struct bench_world
{
    explicit bench_world(budget_scenario const& scenario)
        : scenario(scenario)
        , faults(scenario, queue)
        , log(queue, faults)
        , oracle(scenario)
    {}

    budget_scenario const& scenario;
    event_queue queue;
    fault_model faults;
    log_model log;
    budget_oracle oracle;
};

/// Policy that admits requests against budgets. It reports each decision to `oracle.reserved` or
/// `oracle.refused`, and the end of admitted work to `oracle.finished`.
class budget_policy
{
public:
    virtual ~budget_policy() = default;

    virtual void start() {}
    virtual void arrive(trace_request const& request, int router) = 0;

    /// Returns the requests that waited for admission at the router; their clients retry them.
    virtual std::vector<trace_request const*> router_died(int router) = 0;
    virtual void router_restarted(int) {}
    virtual void topped_up(top_up const&) {}
};

std::unique_ptr<budget_policy> create_product_policy(bench_world& world);
std::unique_ptr<budget_policy> create_append_per_request_policy(bench_world& world);
std::unique_ptr<budget_policy> create_static_split_policy(bench_world& world);
std::unique_ptr<budget_policy> create_lagged_counter_policy(bench_world& world);

} // namespace almondcart::bench
