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

/// Agent as far as budgets see it: grant fence, running work, usage kept until acknowledged.
class agent_model
{
public:
    agent_model(int index, bench_world& world);

    process_id const& id() const { return id_; }
    int index() const { return index_; }

    /// Runs the work, or refuses it if a grant is closed. `finished` is called at its end.
    std::optional<grant_id> try_run(
        reservation const& work,
        trace_request const& request,
        std::function<void(usage_item const&)> finished);

    grant_report close_grant(grant_id const& grant);

    void acknowledge(request_id const& request) { unacknowledged_.erase(request); }

    /// Usage that no router has acknowledged and that is due to be reported again.
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
