#include <spdlog/spdlog.h>

#include <algorithm>

#include "gateway.hpp"

namespace almondcart {

namespace {

constexpr duration cold_check_interval{250};

} // namespace

void gateway::on_drain_change(forwarding::drained_zones::change const& change)
{
    std::size_t count = 0;
    for (auto const& [id, it] : directory_.all())
    {
        if (it->entry.availability_zone != change.zone)
            continue;
        ++count;
        if (change.is_drained)
            connections_.close_idle(id);
        else
            cold_starts_.record_drain_end(*it);
    }
    spdlog::info(
        "[drain] zone={} offset={} upstreams={} {}",
        change.zone,
        change.offset,
        count,
        change.is_drained ? "drained" : "ended");
    set_drain_gauges();
}

forwarding::cold_start_limiter::hooks gateway::create_cold_start_hooks()
{
    forwarding::cold_start_limiter::hooks hooks;
    hooks.clock = [this] { return loop_.now(); };
    hooks.limits_of = [this](std::string const& name) -> forwarding::cold_start_limiter::limits
    {
        auto const* service = context_.configuration == nullptr
                                  ? nullptr
                                  : context_.configuration->find_service(name);
        if (service == nullptr)
            return {};
        return {service->cold_time, service->cold_per_second};
    };
    hooks.on_change = [this](forwarding::upstream const& it, bool is_cold)
    {
        spdlog::info(
            "[cold] upstream={} started_ms={} {} gateways={}",
            it.entry.id,
            it.entry.started_ms,
            is_cold ? "cold" : "warm",
            announcement_.registry().size());
    };
    return hooks;
}

void gateway::update_cold_starts()
{
    announcement_.tick();
    auto const now = loop_.now();
    if (now - cold_starts_checked_ < cold_check_interval)
        return;
    cold_starts_checked_ = now;
    cold_starts_.tick(directory_);
    metrics_.set_cold_starts(
        cold_starts_.cold_count(), cold_starts_.kept_away_count(), announcement_.registry().size());
}

void gateway::set_drain_gauges()
{
    auto const upstreams =
        drained_.size() == 0
            ? 0
            : std::ranges::count_if(
                  directory_.all(),
                  [this](auto const& it)
                  { return drained_.contains(it.second->entry.availability_zone); });
    metrics_.set_drained(drained_.size(), static_cast<std::size_t>(upstreams));
}

} // namespace almondcart
