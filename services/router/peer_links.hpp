#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/routing/membership.hpp>

#include <json/json.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "fleet_state.hpp"

namespace almondcart {

/// Exchanges heartbeats with the other routers and fetches newer configuration and shard states
/// from them.
class peer_links
{
public:
    struct hooks
    {
        std::function<bool()> is_leaving;
        /// Whether shard states may be taken from peers because the log does not provide them.
        std::function<bool()> needs_snapshots;
        /// Receives a peer's state of a stream, which includes the records up to `offset`.
        std::function<
            void(std::string const& stream, std::int64_t offset, Json::Value const& state)>
            offer_snapshot;
    };

    peer_links(
        process_id self,
        std::string own_address,
        std::vector<std::string> addresses,
        fleet_state const& state,
        membership& members,
        json_rpc_client& rpc,
        hooks hooks);

    /// Sends a heartbeat to each peer. Called every second.
    void send_heartbeats();

    /// Returns this router's heartbeat, which is also the reply to a peer's heartbeat.
    Json::Value heartbeat() const;

    /// Handles a peer's heartbeat or its reply. Errors carry `malformed_request`.
    absl::Status receive(Json::Value const& value);

    /// Calls `method` on all live peers and ignores the results.
    void notify_all(std::string const& method, Json::Value const& params);

private:
    void fetch_configuration(std::string const& address);
    void fetch_shard(std::string const& address, int shard);

    process_id self_;
    std::string own_address_;
    std::vector<std::string> addresses_;
    fleet_state const& state_;
    membership& members_;
    json_rpc_client& rpc_;
    hooks hooks_;
    std::set<std::string> streams_being_fetched_;
};

} // namespace almondcart
