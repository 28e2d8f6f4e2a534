#include "budget_judge.hpp"

#include <algorithm>

namespace almondcart::bench {

budget_judge::budget_judge(budget_scenario const& scenario)
{
    for (auto const& budget : scenario.budgets)
        budgets_.push_back({budget.total, 0, 0, 0, 0});
}

void budget_judge::reserved(trace_request const& request)
{
    if (running_[request.id]++ == 0 && !finished_.contains(request.id))
        budgets_[request.budget].reserved += request.worst_case;
}

void budget_judge::released(trace_request const& request)
{
    auto const it = running_.find(request.id);
    if (it == running_.end() || --it->second > 0)
        return;
    running_.erase(it);
    if (!finished_.contains(request.id))
        budgets_[request.budget].reserved -= request.worst_case;
}

void budget_judge::finished(trace_request const& request)
{
    auto& budget = budgets_[request.budget];
    if (finished_.contains(request.id))
        return released(request);
    released(request);
    if (running_.contains(request.id))
        budget.reserved -= request.worst_case;
    finished_.insert(request.id);
    budget.used += request.actual;
    budget.overspend = std::max(budget.overspend, budget.used - budget.total);
}

void budget_judge::refused(trace_request const& request)
{
    ++refusals_;
    if (unspent(request.budget) < request.worst_case)
        return;
    ++false_refusals_;
    ++budgets_[request.budget].false_refusals;
}

token_count budget_judge::overspend() const
{
    token_count sum = 0;
    for (auto const& budget : budgets_)
        sum += budget.overspend;
    return sum;
}

token_count budget_judge::unspent(std::size_t budget) const
{
    auto const& truth = budgets_[budget];
    return truth.total - truth.used - truth.reserved;
}

} // namespace almondcart::bench
