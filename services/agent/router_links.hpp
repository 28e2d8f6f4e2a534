#pragma once

#include <almondcart/gate/heartbeat.hpp>
#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/json_rpc_client.hpp>

#include <functional>
#include <string>
#include <vector>

#include "agent_settings.hpp"

namespace almondcart {

/// Exchanges heartbeats with all routers, fetches newer configurations from them, and reports usage
/// items to the routers in turn.
class router_links
{
public:
    struct hooks
    {
        /// Creates a heartbeat without crash notices, which differ per router.
        std::function<agent_heartbeat()> create_heartbeat;
        /// Applies the result of `configuration_since`.
        std::function<void(Json::Value const& result)> apply_configuration;
    };

    /// The references must outlive this object and its calls.
    router_links(
        agent_settings const& settings,
        json_rpc_client& rpc,
        upstream_crash_monitor& monitor,
        hooks hooks);

    /// Sends a heartbeat to each router whose previous heartbeat has completed or failed.
    void send_heartbeats();

    /// Sends a heartbeat to every router now, even if one is in flight.
    void broadcast_heartbeat();

    /// Reports the items to the next router that responds to heartbeats.
    void report_usage(process_id const& self, std::vector<usage_item> const& items);

    /// Reports to a router that this incarnation has stopped with all its usage acknowledged. Calls
    /// `done` when the call has completed or failed.
    void report_stop(process_id const& self, std::function<void()> done);

    /// Whether any router reports that all budget shards have applied the agent's start.
    bool is_registered() const;

    Json::Value to_json() const;

private:
    struct link
    {
        std::string address;
        process_id router{}; ///< from the last heartbeat result
        bool is_heartbeat_pending = false;
        bool is_responding = false;
        bool is_registered = false;
        bool is_fetching = false;
    };

    void send(link& link);
    void handle_heartbeat_result(
        link& link,
        std::vector<crash_notice> const& sent_notices,
        absl::StatusOr<Json::Value> result);
    void fetch_configuration(link& link, std::int64_t own_offset);
    link* next_responding_link();

    agent_settings const& settings_;
    json_rpc_client& rpc_;
    upstream_crash_monitor& monitor_;
    hooks hooks_;
    std::vector<link> links_;
    std::size_t next_link_ = 0;
};

} // namespace almondcart
