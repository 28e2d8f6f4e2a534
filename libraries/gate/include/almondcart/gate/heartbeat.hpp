#pragma once

#include <almondcart/core/identifiers.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// Request that was running when an upstream crashed.
struct crashed_request
{
    request_id request;
    std::string fingerprint;
    bool ran_as_suspect = false; ///< it was also running during an earlier crash

    friend bool operator==(crashed_request const&, crashed_request const&) = default;
};

/// Crash of an upstream with the requests that were running on it.
struct crash_notice
{
    std::string crash; ///< unique id of the crash
    std::vector<crashed_request> requests;

    friend bool operator==(crash_notice const&, crash_notice const&) = default;
};

/// Parameters of the RPC method `heartbeat`, which an agent sends to every router each second.
struct agent_heartbeat
{
    process_id agent;
    std::string upstream;
    std::string address; ///< "ip:port" of the agent
    bool is_leaving = false;
    std::int64_t config_offset = -1;
    int queue = 0;                           ///< requests waiting in the upstream
    int running = 0;                         ///< requests running in the gate
    int free_slots = 0;                      ///< 0 while the upstream is down or leaving
    bool is_suspect_running = false;         ///< no other crash suspect may be sent now
    std::vector<process_id> routers;         ///< routers that responded to the last heartbeat
    std::vector<std::string> cache_prefixes; ///< hashes of cached prefixes; only a hint
    std::vector<crash_notice> crashes;       ///< not yet acknowledged by this router

    friend bool operator==(agent_heartbeat const&, agent_heartbeat const&) = default;
};

/// Result of `heartbeat`. By responding, a router acknowledges the crash notices.
struct agent_heartbeat_result
{
    process_id router;
    std::int64_t config_offset = -1;
    bool is_registered = false; ///< every budget shard has applied the agent's start

    friend bool operator==(agent_heartbeat_result const&, agent_heartbeat_result const&) = default;
};

Json::Value to_json(agent_heartbeat const& value);
Json::Value to_json(agent_heartbeat_result const& value);

/// Errors carry `malformed_request`.
absl::StatusOr<agent_heartbeat> parse_agent_heartbeat(Json::Value const& value);
absl::StatusOr<agent_heartbeat_result> parse_agent_heartbeat_result(Json::Value const& value);

} // namespace almondcart
