#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// What a document wants of one upstream.
struct desired_upstream
{
    std::string upstream;
    std::vector<std::string> models;
    std::string role;
};

/// What an agent reports of its upstream.
struct reported_upstream
{
    std::string upstream;
    std::string agent; ///< text form of the process id
    std::set<std::string> models;
    std::string role;
    std::int64_t fencing_number = -1; ///< highest that the agent has accepted
};

enum class order_kind
{
    load_model,
    set_role,
};

std::string_view name_of(order_kind kind);

/// Order to an upstream, sent to its agent.
struct upstream_order
{
    std::string upstream;
    std::string agent;
    order_kind kind = order_kind::load_model;
    std::string model;
    std::string role;
    std::int64_t fencing_number = -1; ///< offset of the publish record that it follows from
};

struct order_planner_settings
{
    double loads_per_s = 0.1;      ///< rate limit of the weight store, for the fleet
    double load_burst = 1;         ///< loads that may start at once
    duration repeat_after{30'000}; ///< unconfirmed orders are repeated after this time
};

/// Decides which orders are due. Orders to one upstream never carry a lower fencing number than an
/// earlier one or than its agent has accepted.
class order_planner
{
public:
    /// `is_responsible` says whether this router acts first for an upstream.
    order_planner(
        clock_function clock,
        std::function<bool(std::string const& upstream)> is_responsible,
        order_planner_settings settings = {});

    /// Replaces what a service's document wants. Ignored if `offset` is not above the last one.
    void set_desired(
        std::string const& service,
        std::int64_t offset,
        std::vector<desired_upstream> const& upstreams);

    /// Takes an agent's report.
    void apply(reported_upstream const& report);
    void forget(std::string const& upstream);

    /// This router's part of the weight store's rate: one divided by the number of live routers.
    void set_share(double share);

    /// Orders to send now. Each one counts as sent; it is due again if the agent's reports do not
    /// show its effect in time. `set_role` orders come before loads of the same upstream.
    std::vector<upstream_order> due();

private:
    struct wanted_state
    {
        desired_upstream upstream;
        std::int64_t offset = -1;
    };
    struct sent_order
    {
        std::int64_t fencing_number = -1;
        instant time;
    };
    struct reported_state
    {
        reported_upstream report;
        std::int64_t highest_sent = -1;
        std::map<std::string, sent_order> sent; ///< by kind and model or role
    };

    void
    plan(wanted_state const& wanted, reported_state& reported, std::vector<upstream_order>& orders);
    bool is_due(reported_state const& reported, std::string const& key, std::int64_t number) const;
    void refill();
    bool try_take_load();

    clock_function clock_;
    std::function<bool(std::string const&)> is_responsible_;
    order_planner_settings settings_;
    double share_ = 1;
    double loads_;
    instant refilled_;
    std::map<std::string, std::int64_t> offsets_; ///< by service
    std::map<std::string, std::map<std::string, wanted_state>> desired_;
    std::map<std::string, reported_state> reported_;
};

} // namespace almondcart
