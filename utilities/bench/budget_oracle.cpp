#include "budget_oracle.hpp"

#include <algorithm>

namespace almondcart::bench {

budget_oracle::budget_oracle(budget_scenario const& scenario)
{
    for (auto const& budget : scenario.budgets)
        budgets_.push_back({budget.total, 0, 0, 0, 0});
}

void budget_oracle::reserved(trace_request const& request)
{
    if (reserved_runs_[request.id]++ == 0 && !finished_.contains(request.id))
        budgets_[request.budget].reserved += request.worst_case;
}

void budget_oracle::released(trace_request const& request)
{
    auto const it = reserved_runs_.find(request.id);
    if (it == reserved_runs_.end() || --it->second > 0)
        return;
    reserved_runs_.erase(it);
    if (!finished_.contains(request.id))
        budgets_[request.budget].reserved -= request.worst_case;
}

void budget_oracle::finished(trace_request const& request)
{
    auto& budget = budgets_[request.budget];
    if (finished_.contains(request.id))
        return released(request);
    released(request);
    if (reserved_runs_.contains(request.id))
        budget.reserved -= request.worst_case;
    finished_.insert(request.id);
    budget.used += request.actual;
    budget.overspend = std::max(budget.overspend, budget.used - budget.total);
}

void budget_oracle::refused(trace_request const& request)
{
    ++refusals_;
    if (unspent(request.budget) < request.worst_case)
        return;
    ++false_refusals_;
    ++budgets_[request.budget].false_refusals;
}

token_count budget_oracle::overspend() const
{
    token_count sum = 0;
    for (auto const& budget : budgets_)
        sum += budget.overspend;
    return sum;
}

token_count budget_oracle::unspent(std::size_t budget) const
{
    auto const& state = budgets_[budget];
    return state.total - state.used - state.reserved;
}

} // namespace almondcart::bench
