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

/// Process of the fleet as a router's status names it.
struct fleet_process
{
    std::string process; ///< process id text
    std::string address; ///< "ip:port" of its control interface
    std::string role;    ///< "router" or "agent"
};

/// Blocking calls to the fleet's processes, for the command line.
class fleet_client
{
public:
    fleet_client();

    /// `GET path`, as JSON. Errors carry `no_upstream` or `upstream_lost` if there is no answer.
    absl::StatusOr<Json::Value> fetch(std::string const& address, std::string const& path);

    /// The same from many processes at once; results in the order of `addresses`.
    std::vector<absl::StatusOr<Json::Value>>
    fetch_all(std::vector<std::string> const& addresses, std::string const& path);

    absl::StatusOr<Json::Value>
    call(std::string const& address, std::string const& method, Json::Value const& params);

    /// Live routers and agents as the router at `address` sees them, itself included.
    absl::StatusOr<std::vector<fleet_process>> processes(std::string const& address);

    /// Waits without calls.
    void pause(duration time);

private:
    event_loop loop_;
    http_client client_;
    event_journal journal_;
    json_rpc_client rpc_;
};

} // namespace almondcart
