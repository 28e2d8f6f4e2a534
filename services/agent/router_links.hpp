#pragma once

#include <almondcart/gate/heartbeat.hpp>
#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/json_rpc_client.hpp>

#include <functional>
#include <string>
#include <vector>

#include "agent_settings.hpp"

namespace almondcart {

/// Exchanges heartbeats with all routers, takes newer configurations from them, and hands usage
/// items to one router after the other.
class router_links
{
public:
    struct hooks
    {
        /// Heartbeat without its crash notices, which differ per router.
        std::function<agent_heartbeat()> create_heartbeat;
        /// Result of `configuration_since`.
        std::function<void(Json::Value const& result)> take_configuration;
    };

    /// The references must outlive this object and its calls.
    router_links(
        agent_settings const& settings,
        json_rpc_client& rpc,
        upstream_crash_monitor& monitor,
        hooks hooks);

    /// Sends a heartbeat to each router that has answered or failed the one before.
    void send_heartbeats();

    /// Sends to every router now, even if a heartbeat is under way.
    void announce();

    /// Hands the items to the next router that answers heartbeats.
    void report_usage(process_id const& self, std::vector<usage_item> const& items);

    /// Tells a router that this incarnation has ended with all its usage acknowledged. Calls `done`
    /// after the answer or its failure.
    void report_stop(process_id const& self, std::function<void()> done);

    /// Whether some router reports that all budget shards have folded the agent's start.
    bool is_registered() const;

    Json::Value to_json() const;

private:
    struct link
    {
        std::string address;
        process_id router{}; ///< that answered last
        bool is_waiting = false;
        bool is_answering = false;
        bool is_registered = false;
        bool is_fetching = false;
    };

    void send(link& link);
    void
    take(link& link, std::vector<crash_notice> const& sent, absl::StatusOr<Json::Value> result);
    void fetch_configuration(link& link, std::int64_t own_offset);
    link* next_answering();

    agent_settings const& settings_;
    json_rpc_client& rpc_;
    upstream_crash_monitor& monitor_;
    hooks hooks_;
    std::vector<link> links_;
    std::size_t next_ = 0;
};

} // namespace almondcart
