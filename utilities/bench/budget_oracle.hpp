#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "budget_scenario.hpp"

namespace almondcart::bench {

/// Test oracle for budget policies. Knows the true totals and the work that ran at the agents, and
/// counts overspend and false refusals.
class budget_oracle
{
public:
    explicit budget_oracle(budget_scenario const& scenario);

    /// Applies a published top-up.
    void set_total(std::size_t budget, token_count total) { budgets_[budget].total = total; }

    /// Report the course of admitted work. Several runs of one request reserve and use its tokens
    /// once.
    void reserved(trace_request const& request);
    void released(trace_request const& request);
    void finished(trace_request const& request);

    /// Counts a refusal. It is a false one if the unspent and unreserved budget covered the worst
    /// case of the request.
    void refused(trace_request const& request);

    /// Sum over all budgets of the largest excess of used tokens over the total.
    token_count overspend() const;
    std::int64_t refusals() const { return refusals_; }
    std::int64_t false_refusals() const { return false_refusals_; }
    std::int64_t false_refusals(std::size_t budget) const
    {
        return budgets_[budget].false_refusals;
    }
    token_count unspent(std::size_t budget) const;

private:
    struct budget_state
    {
        token_count total = 0;
        token_count used = 0;
        token_count reserved = 0;
        token_count overspend = 0;
        std::int64_t false_refusals = 0;
    };

    std::vector<budget_state> budgets_;
    std::map<request_id, int> reserved_runs_; ///< number of runs reserved and not finished
    std::set<request_id> finished_;
    std::int64_t refusals_ = 0;
    std::int64_t false_refusals_ = 0;
};

} // namespace almondcart::bench
