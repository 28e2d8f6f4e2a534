#include <almondcart/routing/order_planner.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondcart {

namespace {

/// Sums of fractions, such as ten times 0.1, end just below the whole number.
constexpr double rounding = 1e-9;

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
    , loads_(settings.load_burst)
    , refilled_(clock_())
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
    auto& wanted = desired_[service];
    wanted.clear();
    for (auto const& it : upstreams)
        wanted[it.upstream] = {it, offset};
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
        for (auto const& [name, wanted] : upstreams)
        {
            auto const it = reported_.find(name);
            if (it != reported_.end() && is_responsible_(name))
                plan(wanted, it->second, orders);
        }
    }
    return orders;
}

void order_planner::plan(
    wanted_state const& wanted,
    reported_state& reported,
    std::vector<upstream_order>& orders)
{
    // A newer document is in force at the agent than at this router.
    auto const newest = std::max(reported.highest_sent, reported.report.fencing_number);
    if (wanted.offset < newest)
        return;
    auto const send = [&](order_kind kind, std::string const& model, std::string const& key)
    {
        reported.sent[key] = {wanted.offset, clock_()};
        reported.highest_sent = wanted.offset;
        orders.push_back(
            {wanted.upstream.upstream,
             reported.report.agent,
             kind,
             model,
             wanted.upstream.role,
             wanted.offset});
    };
    auto const& role = wanted.upstream.role;
    auto const role_key = "role " + role;
    if (!role.empty() && role != reported.report.role && is_due(reported, role_key, wanted.offset))
        send(order_kind::set_role, "", role_key);
    for (auto const& model : wanted.upstream.models)
    {
        auto const key = "model " + model;
        if (reported.report.models.contains(model) || !is_due(reported, key, wanted.offset))
            continue;
        if (!try_take_load())
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
    // An unconfirmed order is not repeated for a newer document alone, because the load that it
    // started counts against the weight store's rate.
    if (it == reported.sent.end() || it->second.fencing_number > number)
        return true;
    return clock_() - it->second.time >= settings_.repeat_after;
}

void order_planner::refill()
{
    auto const elapsed_s = std::chrono::duration<double>(clock_() - refilled_).count();
    loads_ = std::min(settings_.load_burst, loads_ + elapsed_s * settings_.loads_per_s * share_);
    refilled_ = clock_();
}

bool order_planner::try_take_load()
{
    if (loads_ < 1 - rounding)
        return false;
    loads_ -= 1;
    return true;
}

} // namespace almondcart
