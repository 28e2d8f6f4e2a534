#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/json_rpc_client.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <string>
#include <vector>

namespace almondcart {

/// Router or agent process, as listed in the status of a router.
struct fleet_process
{
    std::string process; ///< process id as text
    std::string address; ///< "ip:port" of its control interface
    std::string role;    ///< "router" or "agent"
};

/// Blocking client for the control interfaces of routers and agents.
class fleet_client
{
public:
    fleet_client();

    /// Sends `GET path` and parses the response as JSON. Without a response, the error has the code
    /// `no_upstream` or `upstream_lost`.
    absl::StatusOr<Json::Value> fetch(std::string const& address, std::string const& path);

    /// Fetches `path` from all addresses concurrently. Results have the order of `addresses`.
    std::vector<absl::StatusOr<Json::Value>>
    fetch_all(std::vector<std::string> const& addresses, std::string const& path);

    /// Sends a JSON-RPC call and waits for its result.
    absl::StatusOr<Json::Value>
    call(std::string const& address, std::string const& method, Json::Value const& params);

    /// Lists the routers and agents that the router at `address` sees as live, including itself.
    absl::StatusOr<std::vector<fleet_process>> list_processes(std::string const& address);

    /// Runs the event loop for `time`.
    void pause(duration time);

private:
    event_loop loop_;
    http_client client_;
    event_journal journal_;
    json_rpc_client rpc_;
};

} // namespace almondcart
