#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/routing/membership.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "fleet_state.hpp"

namespace almondcart {

/// Copies the budget totals of the documents in force into the budget shards, so that each shard
/// decides on grants without reading another stream.
class limit_publisher
{
public:
    limit_publisher(
        fleet_state const& state,
        membership const& members,
        clock_function clock,
        std::function<std::int64_t(record_body)> submit);

    /// Submits limits that are missing on the shards. If the primary router of a budget does not
    /// submit them, any other router does after a delay.
    void tick();

private:
    struct difference
    {
        instant since;
        instant submitted;
        std::int64_t document_version = 0;
        bool is_submitted = false;
    };

    void compare(service_document const& document, std::int64_t version);
    bool is_equal(budget_id const& id, budget_definition const& budget) const;

    fleet_state const& state_;
    membership const& members_;
    clock_function clock_;
    std::function<std::int64_t(record_body)> submit_;
    std::map<budget_id, difference> differences_;
};

} // namespace almondcart
