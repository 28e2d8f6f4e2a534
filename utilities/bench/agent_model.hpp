#pragma once

#include <almondcart/budget/grant_recovery.hpp>
#include <almondcart/budget/reservation.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "budget_policy.hpp"

namespace almondcart::bench {

/// Model of the budget side of an agent: refuses work of closed grants, runs work, and keeps usage
/// until a router acknowledges it.
class agent_model
{
public:
    agent_model(int index, bench_world& world);

    process_id const& id() const { return id_; }
    int index() const { return index_; }

    /// Runs the work and calls `finished` at its end. If one of its grants is closed, refuses the
    /// work and returns that grant.
    std::optional<grant_id> try_run(
        reservation const& work,
        trace_request const& request,
        std::function<void(usage_item const&)> finished);

    /// Closes the grant and reports its finished and running work.
    grant_report close_grant(grant_id const& grant);

    void acknowledge(request_id const& request) { unacknowledged_.erase(request); }

    /// Returns the unacknowledged usage that is due for a report.
    std::vector<usage_item> usage_to_report();

private:
    struct finished_work
    {
        usage_item usage;
        instant report_at{};
    };

    int index_;
    process_id id_;
    bench_world& world_;
    std::set<grant_id> closed_;
    std::map<request_id, reservation> running_;
    std::map<request_id, finished_work> unacknowledged_;
};

} // namespace almondcart::bench
