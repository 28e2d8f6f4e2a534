#pragma once

#include <almondcart/budget/budget_holder.hpp>
#include <almondcart/budget/grant_recovery.hpp>
#include <almondcart/budget/transfer_broker.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "agent_model.hpp"
#include "budget_log.hpp"
#include "budget_policy.hpp"

namespace almondcart::bench {

class product_router;

/// State shared by the simulated routers.
struct product_fleet
{
    bench_world& world;
    budget_log log;
    std::vector<std::unique_ptr<agent_model>> agents;
    std::vector<std::shared_ptr<product_router>> routers; ///< null while down
};

/// One incarnation of a router process: the product's shard states and budget classes, connected to
/// the models of the log, the agents and the other routers.
class product_router : public std::enable_shared_from_this<product_router>
{
public:
    product_router(int index, product_fleet& fleet);

    int index() const { return index_; }
    process_id const& id() const { return id_; }
    budget_holder& holder() { return holder_; }

    void start();
    void arrive(trace_request const& request);

    /// Requests whose reservations are pending.
    std::vector<trace_request const*> waiting() const;

    /// Reads new records after `delay` if the log is reachable then.
    void schedule_read(duration delay);

    /// Handles a `report_usage` call from an agent.
    void report_usage(std::vector<usage_item> items);

private:
    budget_holder_settings holder_settings() const;
    budget_holder::hooks holder_hooks();
    transfer_broker::hooks broker_hooks();
    grant_recovery::hooks recovery_hooks();

    void reserve(trace_request const& request, int attempt, instant deadline);
    void dispatch(trace_request const& request, int attempt, instant deadline);
    void run(trace_request const& request, reservation const& work, instant deadline, int agent);
    void handle_agent_refusal(
        trace_request const& request,
        reservation const& work,
        grant_id const& grant,
        instant deadline);
    void request_transfer(
        process_id const& peer,
        transfer_id const& transfer,
        budget_id const& budget,
        token_count tokens,
        transfer_broker::transfer_callback const& callback);
    void close_grant(
        process_id const& agent,
        grant_id const& grant,
        grant_recovery::report_callback callback);
    void apply_new_records();
    void acknowledge(request_id const& request);
    void tick();

    /// Runs `action` after `delay` unless this process has died.
    void schedule(duration delay, event_queue::action action);
    void schedule_every(duration interval, event_queue::action action);

    int index_;
    process_id id_;
    product_fleet& fleet_;
    bench_world& world_;
    std::shared_ptr<budget_log_client> client_;
    std::vector<budget_shard_state> shards_;
    std::vector<std::size_t> positions_; ///< next record to apply, by shard
    instant read_at_{};
    bool is_read_scheduled_ = false;
    std::mt19937_64 random_;
    budget_holder holder_;
    transfer_broker broker_;
    grant_recovery recovery_;
    std::map<trace_request const*, int> waiting_;
    std::set<request_id> reported_; ///< requests whose usage came from agents and was submitted
};

} // namespace almondcart::bench
