#include <almondcart/routing/order_planner.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondcart {

namespace {

/// A sum of fractions, such as ten times 0.1, can be slightly below the exact integer.
constexpr double rounding_tolerance = 1e-9;

} // namespace

std::string_view name_of(order_kind kind)
{
    return kind == order_kind::load_model ? "load_model" : "set_role";
}

order_planner::order_planner(
    clock_function clock,
    std::function<bool(std::string const& upstream)> is_responsible,
    order_planner_settings settings)
    : clock_(std::move(clock))
    , is_responsible_(std::move(is_responsible))
    , settings_(settings)
    , load_tokens_(settings.load_burst)
    , last_refill_(clock_())
{}

void order_planner::set_desired(
    std::string const& service,
    std::int64_t offset,
    std::vector<desired_upstream> const& upstreams)
{
    auto const known = offsets_.find(service);
    if (known != offsets_.end() && offset <= known->second)
        return;
    offsets_[service] = offset;
    auto& desired = desired_[service];
    desired.clear();
    for (auto const& it : upstreams)
        desired[it.upstream] = {it, offset};
}

void order_planner::apply(reported_upstream const& report)
{
    auto& state = reported_[report.upstream];
    if (state.report.agent != report.agent)
        state.sent.clear();
    state.report = report;
}

void order_planner::forget(std::string const& upstream)
{
    reported_.erase(upstream);
}

void order_planner::set_share(double share)
{
    refill();
    share_ = std::clamp(share, 0.0, 1.0);
}

std::vector<upstream_order> order_planner::due()
{
    refill();
    std::vector<upstream_order> orders;
    for (auto const& [service, upstreams] : desired_)
    {
        for (auto const& [name, desired] : upstreams)
        {
            auto const it = reported_.find(name);
            if (it != reported_.end() && is_responsible_(name))
                plan_upstream(desired, it->second, orders);
        }
    }
    return orders;
}

void order_planner::plan_upstream(
    desired_state const& desired,
    reported_state& reported,
    std::vector<upstream_order>& orders)
{
    // The agent already follows a newer document than this router.
    auto const newest = std::max(reported.highest_sent, reported.report.fencing_number);
    if (desired.offset < newest)
        return;
    auto const send = [&](order_kind kind, std::string const& model, std::string const& key)
    {
        reported.sent[key] = {desired.offset, clock_()};
        reported.highest_sent = desired.offset;
        orders.push_back(
            {desired.upstream.upstream,
             reported.report.agent,
             kind,
             model,
             desired.upstream.role,
             desired.offset});
    };
    auto const& role = desired.upstream.role;
    auto const role_key = "role " + role;
    if (!role.empty() && role != reported.report.role && is_due(reported, role_key, desired.offset))
        send(order_kind::set_role, "", role_key);
    for (auto const& model : desired.upstream.models)
    {
        auto const key = "model " + model;
        if (reported.report.models.contains(model) || !is_due(reported, key, desired.offset))
            continue;
        if (!try_take_load_token())
            return;
        send(order_kind::load_model, model, key);
    }
}

bool order_planner::is_due(
    reported_state const& reported,
    std::string const& key,
    std::int64_t number) const
{
    auto const it = reported.sent.find(key);
    // A newer document alone does not repeat an unconfirmed order, because the load that the order
    // started counts against the weight store's rate limit.
    if (it == reported.sent.end() || it->second.fencing_number > number)
        return true;
    return clock_() - it->second.time >= settings_.repeat_after;
}

void order_planner::refill()
{
    auto const elapsed_s = std::chrono::duration<double>(clock_() - last_refill_).count();
    load_tokens_ =
        std::min(settings_.load_burst, load_tokens_ + elapsed_s * settings_.loads_per_s * share_);
    last_refill_ = clock_();
}

bool order_planner::try_take_load_token()
{
    if (load_tokens_ < 1 - rounding_tolerance)
        return false;
    load_tokens_ -= 1;
    return true;
}

} // namespace almondcart
