#include "budget_policy.hpp"

namespace almondcart::bench {

namespace {

/// Each router may spend an equal part of the total. Needs no log, never overspends.
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
        lost_.resize(routers_.size());
    }

    void arrive(trace_request const& request, int router) override
    {
        // A restarted router does not know what its share has left, so it uses none of it, and the
        // load balancer avoids it.
        auto const n = world_.scenario.routers;
        for (int tries = 0;
             tries < n && (lost_[std::size_t(router)] || !world_.faults.is_up(router));
             ++tries)
            router = (router + 1) % n;
        auto& share = routers_[std::size_t(router)][request.budget];
        if (lost_[std::size_t(router)] || share.charged + request.worst_case > share.total / n)
        {
            world_.judge.refused(request);
            return;
        }
        share.charged += request.worst_case;
        world_.judge.reserved(request);
        world_.queue.after(
            request.service,
            [this, &request, &share]
            {
                share.charged -= request.worst_case - request.actual;
                world_.judge.finished(request);
            });
    }

    std::vector<trace_request const*> router_died(int router) override
    {
        lost_[std::size_t(router)] = true;
        return {};
    }

    void topped_up(top_up const& change) override
    {
        for (int router = 0; router < world_.scenario.routers; ++router)
            learn(change, router);
    }

private:
    struct share_state
    {
        token_count total = 0; ///< newest total that the router knows
        token_count charged = 0;
    };

    void learn(top_up const& change, int router)
    {
        if (world_.faults.reaches_log(router))
            routers_[std::size_t(router)][change.budget].total = change.total;
        else
            world_.queue.after(duration(1000), [this, change, router] { learn(change, router); });
    }

    bench_world& world_;
    std::vector<std::vector<share_state>> routers_;
    std::vector<bool> lost_;
};

} // namespace

std::unique_ptr<budget_policy> create_static_split_policy(bench_world& world)
{
    return std::make_unique<static_split_policy>(world);
}

} // namespace almondcart::bench
