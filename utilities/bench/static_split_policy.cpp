#include "budget_policy.hpp"

namespace almondcart::bench {

namespace {

/// Gives each router an equal share of the total. Needs no log and never overspends.
class static_split_policy : public budget_policy
{
public:
    explicit static_split_policy(bench_world& world)
        : world_(world)
        , routers_(std::size_t(world.scenario.routers))
    {
        for (auto& router : routers_)
        {
            for (auto const& budget : world.scenario.budgets)
                router.push_back({budget.total, 0});
        }
        has_lost_share_.resize(routers_.size());
    }

    void arrive(trace_request const& request, int router) override
    {
        // A restarted router does not know how much of its share is left, so it spends none of it
        // and the load balancer avoids it.
        auto const n = world_.scenario.routers;
        for (int tries = 0;
             tries < n && (has_lost_share_[std::size_t(router)] || !world_.faults.is_up(router));
             ++tries)
            router = (router + 1) % n;
        auto& share = routers_[std::size_t(router)][request.budget];
        if (has_lost_share_[std::size_t(router)] ||
            share.charged + request.worst_case > share.total / n)
        {
            world_.oracle.refused(request);
            return;
        }
        share.charged += request.worst_case;
        world_.oracle.reserved(request);
        world_.queue.after(
            request.service_time,
            [this, &request, &share]
            {
                share.charged -= request.worst_case - request.actual;
                world_.oracle.finished(request);
            });
    }

    std::vector<trace_request const*> router_died(int router) override
    {
        has_lost_share_[std::size_t(router)] = true;
        return {};
    }

    void topped_up(top_up const& change) override
    {
        for (int router = 0; router < world_.scenario.routers; ++router)
            apply_top_up(change, router);
    }

private:
    struct share_state
    {
        token_count total = 0; ///< newest total that the router knows
        token_count charged = 0;
    };

    void apply_top_up(top_up const& change, int router)
    {
        if (world_.faults.reaches_log(router))
            routers_[std::size_t(router)][change.budget].total = change.total;
        else
            world_.queue.after(
                duration(1000), [this, change, router] { apply_top_up(change, router); });
    }

    bench_world& world_;
    std::vector<std::vector<share_state>> routers_;
    std::vector<bool> has_lost_share_;
};

} // namespace

std::unique_ptr<budget_policy> create_static_split_policy(bench_world& world)
{
    return std::make_unique<static_split_policy>(world);
}

} // namespace almondcart::bench
