#include "agent_directory.hpp"

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

} // namespace almondcart
