#include <algorithm>

#include "agent_model.hpp"
#include "budget_log.hpp"
#include "budget_policy.hpp"
#include "product_router.hpp"

namespace almondcart::bench {

namespace {

/// Runs the product's own budget classes in virtual time.
class product_policy : public budget_policy
{
public:
    explicit product_policy(bench_world& world)
        : world_(world)
        , fleet_{world, budget_log(world.queue), {}, {}}
    {
        for (int n = 0; n < world.scenario.agents; ++n)
            fleet_.agents.push_back(std::make_unique<agent_model>(n, world));
        fleet_.routers.resize(std::size_t(world.scenario.routers));
    }

    void start() override
    {
        fleet_.log.on_append = [this] { complete_long_polls(); };
        publish_agents();
        for (auto const& budget : world_.scenario.budgets)
            publish(limit_record{budget.id, budget.total, budget.preference, 1});
        for (int router = 0; router < world_.scenario.routers; ++router)
            start_router(router);
        for (auto const& agent : fleet_.agents)
            world_.queue.every(duration(10'000), [this, &agent] { report_usage(*agent); });
    }

    void arrive(trace_request const& request, int router) override
    {
        fleet_.routers[std::size_t(router)]->arrive(request);
    }

    std::vector<trace_request const*> router_died(int router) override
    {
        auto waiting = fleet_.routers[std::size_t(router)]->waiting();
        fleet_.routers[std::size_t(router)].reset();
        return waiting;
    }

    void router_restarted(int router) override { start_router(router); }

    void topped_up(top_up const& change) override
    {
        auto const& budget = world_.scenario.budgets[change.budget];
        publish(limit_record{budget.id, change.total, budget.preference, 2});
        complete_long_polls();
    }

private:
    void start_router(int router)
    {
        auto& instance = fleet_.routers[std::size_t(router)];
        instance = std::make_shared<product_router>(router, fleet_);
        instance->start();
    }

    void publish(record_body body)
    {
        fleet_.log.append({{"publisher", "incarnation-0"}, ++sequence_, std::move(body)});
    }

    void publish_agents()
    {
        for (auto const& agent : fleet_.agents)
        {
            for (int shard = 0; shard < budget_shard_count; ++shard)
                fleet_.log.append_to(
                    shard,
                    {{"publisher", "incarnation-0"},
                     ++sequence_,
                     agent_start_record{agent->id(), agent->id().name}});
        }
    }

    /// Completes the long polls of all routers that reach the log.
    void complete_long_polls()
    {
        for (auto const& router : fleet_.routers)
        {
            if (router)
                router->schedule_read(log_model::one_way_latency);
        }
    }

    void report_usage(agent_model& agent)
    {
        for (auto const& router : fleet_.routers)
        {
            if (!router || !world_.faults.reaches_agent(router->index(), agent.index()))
                continue;
            auto items = agent.usage_to_report();
            if (!items.empty())
                router->report_usage(std::move(items));
            return;
        }
    }

    bench_world& world_;
    product_fleet fleet_;
    std::int64_t sequence_ = 0;
};

} // namespace

std::unique_ptr<budget_policy> create_product_policy(bench_world& world)
{
    return std::make_unique<product_policy>(world);
}

} // namespace almondcart::bench
