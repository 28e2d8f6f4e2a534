#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/gate/order_fence.hpp>
#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/http/json_rpc_server.hpp>
#include <almondcart/http/metrics.hpp>
#include <almondcart/routing/run_placements.hpp>

#include <memory>

#include "agent_configuration.hpp"
#include "agent_metrics.hpp"
#include "agent_settings.hpp"
#include "load_poller.hpp"
#include "order_forwarder.hpp"
#include "router_links.hpp"
#include "rpc_methods.hpp"
#include "upstream_client.hpp"
#include "upstream_probe.hpp"
#include "work_endpoint.hpp"

namespace almondcart {

/// Agent process. Connects the gate with its upstream, the routers and the HTTP endpoints.
class agent
{
public:
    /// Binds the listening address. Errors carry `invalid_settings`.
    static absl::StatusOr<std::unique_ptr<agent>> create(agent_settings settings);

    /// Runs until a graceful stop is complete or has timed out.
    void run();

private:
    agent(agent_settings settings, std::unique_ptr<event_loop> loop);

    work_gate::limits create_limits() const;
    work_gate::hooks create_gate_hooks();
    void start_call(std::uint64_t call, dispatch const& work);
    void handle_crash(crash_notice const& notice);
    agent_heartbeat create_heartbeat() const;
    void apply_configuration(Json::Value const& result);
    bool is_ready() const;
    Json::Value create_status() const;
    void bind_endpoints();
    void start_timers();
    void begin_stop();
    void end_stop_if_drained();
    void end_stop();

    agent_settings settings_;
    process_id self_;
    event_journal journal_;
    std::unique_ptr<event_loop> loop_;
    http_client client_;
    json_rpc_client rpc_client_;
    agent_configuration configuration_;
    order_fence fence_;
    upstream_crash_monitor monitor_;
    std::unique_ptr<upstream_client> upstream_;
    work_gate gate_;
    run_placements placements_;
    order_forwarder orders_;
    upstream_probe probe_;
    load_poller load_;
    router_links routers_;
    metrics metrics_;
    agent_metrics gauges_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<json_rpc_server> rpc_server_;
    std::unique_ptr<rpc_methods> methods_;
    std::unique_ptr<work_endpoint> work_;
    bool is_stopping_ = false;
    bool is_closing_ = false;
};

} // namespace almondcart
