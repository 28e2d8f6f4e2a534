#pragma once

#include <almondcart/gate/upstream_crash_monitor.hpp>
#include <almondcart/http/http_client.hpp>

#include "agent_settings.hpp"

namespace almondcart {

/// Probes `GET /healthz` of an upstream that is down until it responds with any status.
class upstream_probe
{
public:
    /// The references must outlive this object and its calls.
    upstream_probe(
        agent_settings const& settings,
        http_client& client,
        upstream_crash_monitor& monitor);

    /// Sends a probe if the upstream is down and no probe is in flight.
    void tick();

private:
    agent_settings const& settings_;
    http_client& client_;
    upstream_crash_monitor& monitor_;
    http_call call_;
};

} // namespace almondcart
