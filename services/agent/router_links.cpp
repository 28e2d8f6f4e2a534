#include "router_links.hpp"

#include <almondcart/gate/usage_json.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

/// A router considers the agent lost after two missed heartbeats, so one must time out within an
/// interval of one second.
constexpr duration heartbeat_timeout{900};
constexpr duration configuration_timeout{5'000};
constexpr duration usage_timeout{5'000};
constexpr duration stop_timeout{2'000};

} // namespace

router_links::router_links(
    agent_settings const& settings,
    json_rpc_client& rpc,
    upstream_crash_monitor& monitor,
    hooks hooks)
    : settings_(settings)
    , rpc_(rpc)
    , monitor_(monitor)
    , hooks_(std::move(hooks))
{
    for (auto const& address : settings_.routers)
        links_.push_back(link{.address = address});
    monitor_.set_routers(settings_.routers);
}

void router_links::send_heartbeats()
{
    for (auto& link : links_)
    {
        if (!link.is_heartbeat_pending)
            send(link);
    }
}

void router_links::broadcast_heartbeat()
{
    for (auto& link : links_)
        send(link);
}

void router_links::send(link& link)
{
    auto heartbeat = hooks_.create_heartbeat();
    for (auto const& it : links_)
    {
        if (it.is_responding)
            heartbeat.routers.push_back(it.router);
    }
    heartbeat.crashes = monitor_.notices_for(link.address);
    link.is_heartbeat_pending = true;
    rpc_.call(
        link.address,
        "heartbeat",
        almondcart::to_json(heartbeat),
        heartbeat_timeout,
        [this, &link, sent_notices = heartbeat.crashes](absl::StatusOr<Json::Value> result)
        { handle_heartbeat_result(link, sent_notices, std::move(result)); });
}

void router_links::handle_heartbeat_result(
    link& link,
    std::vector<crash_notice> const& sent_notices,
    absl::StatusOr<Json::Value> result)
{
    link.is_heartbeat_pending = false;
    auto const response = result.ok() ? parse_agent_heartbeat_result(*result)
                                      : absl::StatusOr<agent_heartbeat_result>(result.status());
    if (response.ok() != link.is_responding)
    {
        spdlog::info(
            "[gate] router {} {}",
            link.address,
            response.ok() ? std::string("answers heartbeats")
                          : "does not answer: " + std::string(response.status().message()));
    }
    link.is_responding = response.ok();
    link.is_registered = response.ok() && response->is_registered;
    if (!response.ok())
        return;
    link.router = response->router;
    monitor_.acknowledge(link.address, sent_notices);
    auto const own_offset = hooks_.create_heartbeat().config_offset;
    if (response->config_offset > own_offset && !link.is_fetching)
        fetch_configuration(link, own_offset);
}

void router_links::fetch_configuration(link& link, std::int64_t own_offset)
{
    link.is_fetching = true;
    Json::Value params;
    params["offset"] = Json::Int64(own_offset);
    rpc_.call(
        link.address,
        "configuration_since",
        params,
        configuration_timeout,
        [this, &link](absl::StatusOr<Json::Value> const& result)
        {
            link.is_fetching = false;
            if (result.ok())
                hooks_.apply_configuration(*result);
        });
}

router_links::link* router_links::next_responding_link()
{
    for (std::size_t n = 0; n < links_.size(); ++n)
    {
        auto& link = links_[(next_link_ + n) % links_.size()];
        if (!link.is_responding)
            continue;
        next_link_ = (next_link_ + n + 1) % links_.size();
        return &link;
    }
    return nullptr;
}

void router_links::report_usage(process_id const& self, std::vector<usage_item> const& items)
{
    auto const* link = next_responding_link();
    if (link == nullptr)
        return;
    Json::Value params;
    params["agent"] = to_text(self);
    params["items"] = almondcart::to_json(items);
    // A result only means that the router is going to append the items. The gate keeps them until
    // `acknowledge`.
    rpc_.call(
        link->address,
        "report_usage",
        params,
        usage_timeout,
        [address = link->address](absl::StatusOr<Json::Value> const& result)
        {
            if (!result.ok())
                spdlog::warn(
                    "[gate] router {} did not accept usage: {}",
                    address,
                    std::string(result.status().message()));
        });
}

void router_links::report_stop(process_id const& self, std::function<void()> done)
{
    auto const* link = next_responding_link();
    if (link == nullptr)
    {
        done();
        return;
    }
    Json::Value params;
    params["agent"] = to_text(self);
    rpc_.call(
        link->address,
        "agent_stopped",
        params,
        stop_timeout,
        [done = std::move(done)](absl::StatusOr<Json::Value> const&) { done(); });
}

bool router_links::is_registered() const
{
    return std::ranges::any_of(links_, [](link const& it) { return it.is_registered; });
}

Json::Value router_links::to_json() const
{
    Json::Value json(Json::arrayValue);
    for (auto const& link : links_)
    {
        Json::Value entry;
        entry["address"] = link.address;
        entry["answering"] = link.is_responding;
        entry["registered"] = link.is_registered;
        json.append(std::move(entry));
    }
    return json;
}

} // namespace almondcart
