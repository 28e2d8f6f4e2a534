#include "agent_directory.hpp"

#include <algorithm>
#include <utility>

namespace almondcart {

void agent_directory::add(agent_heartbeat heartbeat)
{
    auto upstream = heartbeat.upstream;
    by_upstream_.insert_or_assign(std::move(upstream), std::move(heartbeat));
}

agent_heartbeat const* agent_directory::find(process_id const& agent) const
{
    for (auto const& [upstream, heartbeat] : by_upstream_)
    {
        if (heartbeat.agent == agent)
            return &heartbeat;
    }
    return nullptr;
}

bool agent_directory::is_router_heard(
    process_id const& router,
    std::function<bool(std::string const& upstream)> const& is_fresh) const
{
    return std::ranges::any_of(
        by_upstream_,
        [&](auto const& it)
        {
            auto const& routers = it.second.routers;
            return std::ranges::find(routers, router) != routers.end() && is_fresh(it.first);
        });
}

} // namespace almondcart
