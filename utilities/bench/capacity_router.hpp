#pragma once

#include <almondcart/budget/budget_holder.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>
#include <almondcart/ledger/configuration_state.hpp>
#include <almondcart/log/log_client.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "capacity_log.hpp"

namespace almondcart::bench {

/// CPU time, traffic and counts of one router.
struct router_costs
{
    std::int64_t log_ns = 0; ///< CPU time of the log client: JSON, applying records, grant sizing
    std::int64_t request_ns = 0; ///< CPU time to reserve, dispatch and settle
    std::int64_t sent_bytes = 0; ///< bodies, without HTTP headers
    std::int64_t received_bytes = 0;
    std::int64_t calls = 0;
    std::int64_t granted = 0;
    std::int64_t refused = 0;
    std::int64_t billed = 0;
};

/// Router reduced to its log client, replicated state and budget holder.
class capacity_router
{
public:
    capacity_router(
        int number,
        virtual_time& time,
        capacity_log& log,
        std::function<std::vector<process_id>(int)> live_peers);

    void tick();

    /// Reserves tokens for the request, runs it for a second and settles it.
    void arrive(request_id const& request, budget_id const& budget);

    /// Number of grants of all routers in this router's shard states, including those that are
    /// closed and not recovered yet.
    std::size_t open_grants() const;

    bool has_caught_up() const { return client_.has_caught_up(); }
    router_costs const& costs() const { return costs_; }
    log_client_counters const& counters() const { return client_.counters(); }

private:
    log_client_hooks log_hooks();
    budget_holder::hooks holder_hooks(std::function<std::vector<process_id>(int)> live_peers);
    void follow_streams();
    void receive(std::string const& text, log_response_function const& respond);
    void finish(request_id const& request);

    int number_;
    virtual_time& time_;
    capacity_log& log_;
    router_costs costs_;
    instant read_at_{};
    configuration_state configuration_;
    std::vector<budget_shard_state> shards_;
    log_client client_;
    budget_holder holder_;
};

} // namespace almondcart::bench
