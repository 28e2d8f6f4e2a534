#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/gate/heartbeat.hpp>

#include <json/json.h>

#include <functional>
#include <map>
#include <string>

namespace almondcart {

/// Last heartbeat of each upstream's agent, for status pages and recovery calls.
class agent_directory
{
public:
    void add(agent_heartbeat heartbeat);

    /// Returns the last heartbeat of this agent incarnation, or null if none was received or
    /// another incarnation has replaced it.
    agent_heartbeat const* find(process_id const& agent) const;

    /// Whether an agent whose heartbeat is fresh according to `is_fresh` reports that the router
    /// answers it.
    bool is_router_reachable(
        process_id const& router,
        std::function<bool(std::string const& upstream)> const& is_fresh) const;

    std::map<std::string, agent_heartbeat> const& heartbeats() const { return heartbeats_; }

private:
    std::map<std::string, agent_heartbeat> heartbeats_;
};

} // namespace almondcart
