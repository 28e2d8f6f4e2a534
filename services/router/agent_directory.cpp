#include "agent_directory.hpp"

#include <algorithm>
#include <utility>

namespace almondcart {

void agent_directory::add(agent_heartbeat heartbeat)
{
    auto upstream = heartbeat.upstream;
    heartbeats_.insert_or_assign(std::move(upstream), std::move(heartbeat));
}

agent_heartbeat const* agent_directory::find(process_id const& agent) const
{
    for (auto const& [upstream, heartbeat] : heartbeats_)
    {
        if (heartbeat.agent == agent)
            return &heartbeat;
    }
    return nullptr;
}

bool agent_directory::is_router_reachable(
    process_id const& router,
    std::function<bool(std::string const& upstream)> const& is_fresh) const
{
    return std::ranges::any_of(
        heartbeats_,
        [&](auto const& entry)
        {
            auto const& routers = entry.second.routers;
            return std::ranges::find(routers, router) != routers.end() && is_fresh(entry.first);
        });
}

} // namespace almondcart
