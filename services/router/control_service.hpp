#pragma once

#include <almondcart/http/json_rpc_server.hpp>

#include <functional>
#include <string>
#include <vector>

#include "agent_directory.hpp"
#include "agent_registrar.hpp"
#include "document_publisher.hpp"
#include "peer_links.hpp"
#include "router_context.hpp"
#include "usage_acknowledger.hpp"

namespace almondcart {

/// RPC methods of a router for agents, peers and the command line.
class control_service
{
public:
    struct dependencies
    {
        agent_directory& agents;
        agent_registrar& registrar;
        peer_links& peers;
        document_publisher& publisher;
        usage_acknowledger& acknowledger;
        std::function<void()> drain;
    };

    /// All arguments must outlive the service.
    control_service(router_context& context, dependencies dependencies, json_rpc_server& server);

private:
    using result = absl::StatusOr<Json::Value>;

    result heartbeat(Json::Value const& params);
    result configuration_since(Json::Value const& params);
    result peer_heartbeat(Json::Value const& params);
    result shard_snapshot(Json::Value const& params);
    result transfer_tokens(Json::Value const& params);
    result report_usage(Json::Value const& params);
    result agent_stopped(Json::Value const& params);
    result block_fingerprint(Json::Value const& params);
    result clear_fingerprint(Json::Value const& params);
    void apply_load(agent_heartbeat const& heartbeat);
    void apply_crashes(agent_heartbeat const& heartbeat);
    void submit_usage(std::vector<usage_item> const& items);

    router_context& context_;
    dependencies dependencies_;
};

} // namespace almondcart
