#include <algorithm>
#include <map>
#include <set>

#include "budget_policy.hpp"

namespace almondcart::bench {

namespace {

constexpr duration retry_interval{1000};
constexpr duration longest_retry{60'000};

/// Each request reserves by an append of its own and settles by another; log order decides.
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
        open_[&request] = router;
        auto const deadline = world_.queue.now() + request.deadline;
        world_.queue.at(deadline, [this, &request, router] { expire(request, router); });
        try_reserve(request, router);
    }

    std::vector<trace_request const*> router_died(int router) override
    {
        std::vector<trace_request const*> waiting;
        for (auto const& [request, at] : open_)
        {
            if (at == router)
                waiting.push_back(request);
        }
        for (auto const* request : waiting)
            open_.erase(request);
        return waiting;
    }

    void topped_up(top_up const& change) override { budgets_[change.budget].total = change.total; }

private:
    struct budget_on_log
    {
        token_count total = 0;
        token_count charged = 0;
    };

    bool is_open(trace_request const& request, int router) const
    {
        auto const it = open_.find(&request);
        return it != open_.end() && it->second == router;
    }

    void try_reserve(trace_request const& request, int router)
    {
        if (!is_open(request, router))
            return;
        world_.log.append(
            router,
            [this, &request] { reserve_on_log(request); },
            [this, &request, router] { decided(request, router); });
        world_.queue.after(
            retry_interval, [this, &request, router] { try_reserve(request, router); });
    }

    void reserve_on_log(trace_request const& request)
    {
        auto& budget = budgets_[request.budget];
        if (decisions_.contains(request.id) || cancelled_.contains(request.id))
            return;
        auto const is_admitted = budget.charged + request.worst_case <= budget.total;
        decisions_[request.id] = is_admitted;
        if (is_admitted)
            budget.charged += request.worst_case;
    }

    void decided(trace_request const& request, int router)
    {
        if (!is_open(request, router))
            return;
        open_.erase(&request);
        if (!decisions_[request.id])
        {
            world_.judge.refused(request);
            return;
        }
        world_.judge.reserved(request);
        world_.queue.after(
            request.service,
            [this, &request, router]
            {
                world_.judge.finished(request);
                settle(request, router, request.worst_case - request.actual);
            });
    }

    /// Releases `tokens` of the request's reservation on the log.
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
            { settle(request, router, tokens, std::min(retry * 2, longest_retry)); });
    }

    void expire(trace_request const& request, int router)
    {
        if (!is_open(request, router))
            return;
        open_.erase(&request);
        world_.judge.refused(request);
        cancelled_.insert(request.id);
        settle(request, router, request.worst_case);
    }

    bench_world& world_;
    std::vector<budget_on_log> budgets_;
    std::map<trace_request const*, int> open_; ///< waiting, by router
    std::map<request_id, bool> decisions_;     ///< as folded from the log
    std::set<request_id> cancelled_;
    std::set<request_id> settled_;
};

} // namespace

std::unique_ptr<budget_policy> create_append_per_request_policy(bench_world& world)
{
    return std::make_unique<append_per_request_policy>(world);
}

} // namespace almondcart::bench
