#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "budget_scenario.hpp"

namespace almondcart::bench {

/// Judges a policy from outside: sees the true totals and what really ran at the agents.
class budget_judge
{
public:
    explicit budget_judge(budget_scenario const& scenario);

    /// A top-up has been published.
    void set_total(std::size_t budget, token_count total) { budgets_[budget].total = total; }

    /// Work that the policy admitted. Several runs of one request count once, at the largest.
    void reserved(trace_request const& request);
    void released(trace_request const& request);
    void finished(trace_request const& request);

    /// A caller was refused. False if the unspent, unreserved budget covered its worst case.
    void refused(trace_request const& request);

    /// Largest excess of used tokens over the total, summed over budgets.
    token_count overspend() const;
    std::int64_t refusals() const { return refusals_; }
    std::int64_t false_refusals() const { return false_refusals_; }
    std::int64_t false_refusals(std::size_t budget) const
    {
        return budgets_[budget].false_refusals;
    }
    token_count unspent(std::size_t budget) const;

private:
    struct budget_truth
    {
        token_count total = 0;
        token_count used = 0;
        token_count reserved = 0;
        token_count overspend = 0;
        std::int64_t false_refusals = 0;
    };

    std::vector<budget_truth> budgets_;
    std::map<request_id, int> running_; ///< number of runs reserved and not finished
    std::set<request_id> finished_;
    std::int64_t refusals_ = 0;
    std::int64_t false_refusals_ = 0;
};

} // namespace almondcart::bench
