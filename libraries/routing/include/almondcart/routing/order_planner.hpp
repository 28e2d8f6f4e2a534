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

/// State that a service's document requires of one upstream.
struct desired_upstream
{
    std::string upstream;
    std::vector<std::string> models;
    std::string role;
};

/// State of an upstream as reported by its agent.
struct reported_upstream
{
    std::string upstream;
    std::string agent; ///< text form of the process id
    std::set<std::string> models;
    std::string role;
    std::int64_t fencing_number = -1; ///< highest number that the agent has accepted
};

enum class order_kind
{
    load_model,
    set_role,
};

std::string_view name_of(order_kind kind);

/// Order for an upstream, sent to its agent.
struct upstream_order
{
    std::string upstream;
    std::string agent;
    order_kind kind = order_kind::load_model;
    std::string model;
    std::string role;
    std::int64_t fencing_number = -1; ///< offset of the publish record behind the order
};

struct order_planner_settings
{
    double loads_per_s = 0.1;      ///< rate limit of the weight store, for the whole fleet
    double load_burst = 1;         ///< model loads that may start at the same time
    duration repeat_after{30'000}; ///< time after which an unconfirmed order is sent again
};

/// Compares the desired and the reported state of upstreams and decides which orders to send. An
/// order never carries a lower fencing number than an earlier order to the same upstream, or than
/// its agent has accepted.
class order_planner
{
public:
    /// `is_responsible` returns whether this router is the primary for an upstream.
    order_planner(
        clock_function clock,
        std::function<bool(std::string const& upstream)> is_responsible,
        order_planner_settings settings = {});

    /// Replaces the desired state of a service. Ignored if `offset` is not above the previous one.
    void set_desired(
        std::string const& service,
        std::int64_t offset,
        std::vector<desired_upstream> const& upstreams);

    /// Applies an agent's report.
    void apply(reported_upstream const& report);
    void forget(std::string const& upstream);

    /// This router's share of the weight store's rate: one divided by the number of live routers.
    void set_share(double share);

    /// Returns the orders to send now and counts them as sent. An order is due again if the agent's
    /// reports do not show its effect in time. `set_role` precedes the loads of the same upstream.
    std::vector<upstream_order> due();

private:
    struct desired_state
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
        std::map<std::string, sent_order> sent; ///< keyed by kind and model or role
    };

    void plan_upstream(
        desired_state const& desired,
        reported_state& reported,
        std::vector<upstream_order>& orders);
    bool is_due(reported_state const& reported, std::string const& key, std::int64_t number) const;
    void refill();
    bool try_take_load_token();

    clock_function clock_;
    std::function<bool(std::string const&)> is_responsible_;
    order_planner_settings settings_;
    double share_ = 1;
    double load_tokens_;
    instant last_refill_;
    std::map<std::string, std::int64_t> offsets_; ///< document offset by service
    std::map<std::string, std::map<std::string, desired_state>> desired_;
    std::map<std::string, reported_state> reported_;
};

} // namespace almondcart
