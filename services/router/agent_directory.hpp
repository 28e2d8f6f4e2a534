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

    /// Heartbeat of this incarnation, or null if another one or none is known.
    agent_heartbeat const* find(process_id const& agent) const;

    /// Whether some agent for which `is_fresh` holds reports that the router answers it.
    bool is_router_heard(
        process_id const& router,
        std::function<bool(std::string const& upstream)> const& is_fresh) const;

    std::map<std::string, agent_heartbeat> const& by_upstream() const { return by_upstream_; }

private:
    std::map<std::string, agent_heartbeat> by_upstream_;
};

} // namespace almondcart
