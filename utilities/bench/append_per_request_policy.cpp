#include <algorithm>
#include <map>
#include <set>

#include "budget_policy.hpp"

namespace almondcart::bench {

namespace {

constexpr duration retry_interval{1000};
constexpr duration max_retry_interval{60'000};

/// Reserves and settles each request with separate appends. The order of the log decides which
/// requests are admitted.
class append_per_request_policy : public budget_policy
{
public:
    explicit append_per_request_policy(bench_world& world)
        : world_(world)
    {
        for (auto const& budget : world.scenario.budgets)
            budgets_.push_back({budget.total, 0});
    }

    void arrive(trace_request const& request, int router) override
    {
        undecided_[&request] = router;
        auto const deadline = world_.queue.now() + request.deadline;
        world_.queue.at(deadline, [this, &request, router] { expire(request, router); });
        try_reserve(request, router);
    }

    std::vector<trace_request const*> router_died(int router) override
    {
        std::vector<trace_request const*> waiting;
        for (auto const& [request, at] : undecided_)
        {
            if (at == router)
                waiting.push_back(request);
        }
        for (auto const* request : waiting)
            undecided_.erase(request);
        return waiting;
    }

    void topped_up(top_up const& change) override { budgets_[change.budget].total = change.total; }

private:
    struct logged_budget
    {
        token_count total = 0;
        token_count charged = 0;
    };

    bool is_undecided(trace_request const& request, int router) const
    {
        auto const it = undecided_.find(&request);
        return it != undecided_.end() && it->second == router;
    }

    void try_reserve(trace_request const& request, int router)
    {
        if (!is_undecided(request, router))
            return;
        world_.log.append(
            router,
            [this, &request] { decide_reservation(request); },
            [this, &request, router] { apply_decision(request, router); });
        world_.queue.after(
            retry_interval, [this, &request, router] { try_reserve(request, router); });
    }

    void decide_reservation(trace_request const& request)
    {
        auto& budget = budgets_[request.budget];
        if (decisions_.contains(request.id) || cancelled_.contains(request.id))
            return;
        auto const is_admitted = budget.charged + request.worst_case <= budget.total;
        decisions_[request.id] = is_admitted;
        if (is_admitted)
            budget.charged += request.worst_case;
    }

    void apply_decision(trace_request const& request, int router)
    {
        if (!is_undecided(request, router))
            return;
        undecided_.erase(&request);
        if (!decisions_[request.id])
        {
            world_.oracle.refused(request);
            return;
        }
        world_.oracle.reserved(request);
        world_.queue.after(
            request.service_time,
            [this, &request, router]
            {
                world_.oracle.finished(request);
                settle(request, router, request.worst_case - request.actual);
            });
    }

    /// Returns `tokens` of the request's reservation to the budget with an append.
    void settle(
        trace_request const& request,
        int router,
        token_count tokens,
        duration retry = retry_interval)
    {
        if (settled_.contains(request.id))
            return;
        world_.log.append(
            world_.faults.live_router(router),
            [this, &request, tokens]
            {
                if (settled_.insert(request.id).second && decisions_[request.id])
                    budgets_[request.budget].charged -= tokens;
            },
            [] {});
        world_.queue.after(
            retry,
            [this, &request, router, tokens, retry]
            { settle(request, router, tokens, std::min(retry * 2, max_retry_interval)); });
    }

    void expire(trace_request const& request, int router)
    {
        if (!is_undecided(request, router))
            return;
        undecided_.erase(&request);
        world_.oracle.refused(request);
        cancelled_.insert(request.id);
        settle(request, router, request.worst_case);
    }

    bench_world& world_;
    std::vector<logged_budget> budgets_;
    std::map<trace_request const*, int> undecided_; ///< with the router of each
    std::map<request_id, bool> decisions_;          ///< whether admitted, in log order
    std::set<request_id> cancelled_;
    std::set<request_id> settled_;
};

} // namespace

std::unique_ptr<budget_policy> create_append_per_request_policy(bench_world& world)
{
    return std::make_unique<append_per_request_policy>(world);
}

} // namespace almondcart::bench
