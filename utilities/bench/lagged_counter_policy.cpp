#include "budget_policy.hpp"

namespace almondcart::bench {

namespace {

constexpr duration publish_interval{1000};

/// Each router publishes its charges once a second and reads those of the other routers.
class lagged_counter_policy : public budget_policy
{
public:
    explicit lagged_counter_policy(bench_world& world)
        : world_(world)
        , published_(world.scenario.budgets.size())
    {
        for (auto const& budget : world.scenario.budgets)
            totals_.push_back(budget.total);
        for (int router = 0; router < world.scenario.routers; ++router)
        {
            routers_.emplace_back(world.scenario.budgets.size());
            for (std::size_t n = 0; n < totals_.size(); ++n)
                routers_.back()[n].total = totals_[n];
        }
        for (auto& budget : published_)
            budget.resize(routers_.size());
    }

    void start() override
    {
        for (int router = 0; router < world_.scenario.routers; ++router)
            world_.queue.every(publish_interval, [this, router] { synchronize(router); });
    }

    void arrive(trace_request const& request, int router) override
    {
        auto& counter = routers_[std::size_t(router)][request.budget];
        if (counter.other_charges + counter.charged + request.worst_case > counter.total)
        {
            world_.oracle.refused(request);
            return;
        }
        counter.charged += request.worst_case;
        world_.oracle.reserved(request);
        world_.queue.after(
            request.service_time,
            [this, &request, &counter]
            {
                counter.charged -= request.worst_case - request.actual;
                world_.oracle.finished(request);
            });
    }

    std::vector<trace_request const*> router_died(int) override { return {}; }

    void topped_up(top_up const& change) override { totals_[change.budget] = change.total; }

private:
    struct counter_state
    {
        token_count total = 0;
        token_count charged = 0;
        token_count other_charges = 0; ///< as last read
    };

    void synchronize(int router)
    {
        if (!world_.faults.is_up(router))
            return;
        world_.log.append(
            router,
            [this, router]
            {
                for (std::size_t n = 0; n < published_.size(); ++n)
                    published_[n][std::size_t(router)] = routers_[std::size_t(router)][n].charged;
            },
            [this, router] { read(router); });
    }

    void read(int router)
    {
        for (std::size_t n = 0; n < published_.size(); ++n)
        {
            auto& counter = routers_[std::size_t(router)][n];
            counter.total = totals_[n];
            counter.other_charges = 0;
            for (std::size_t other = 0; other < routers_.size(); ++other)
                counter.other_charges += other == std::size_t(router) ? 0 : published_[n][other];
        }
    }

    bench_world& world_;
    std::vector<std::vector<counter_state>> routers_;
    std::vector<std::vector<token_count>> published_; ///< by budget and router
    std::vector<token_count> totals_;
};

} // namespace

std::unique_ptr<budget_policy> create_lagged_counter_policy(bench_world& world)
{
    return std::make_unique<lagged_counter_policy>(world);
}

} // namespace almondcart::bench
