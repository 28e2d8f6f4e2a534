#pragma once

#include <almondcart/core/instant.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// Settings of a router process, read from a JSON file. docs/configuration.md lists the members.
struct router_settings
{
    std::string name;
    std::string availability_zone;
    std::string listen;             ///< "ip:port" for clients
    std::string peer_listen;        ///< "ip:port" for routers, agents and the command line
    std::string log_address;        ///< "ip:port" of the platform's log service
    std::string vm_list_address;    ///< "ip:port" of the platform's VM list, empty if there is none
    std::vector<std::string> peers; ///< "ip:port" of the other routers' peer_listen
    std::string log_level = "info";
    duration flush_interval{100};
    duration peer_timeout{5'000};      ///< silence after which a peer is presumed dead
    duration shutdown_timeout{60'000}; ///< longest graceful shutdown
    duration log_retention{3'600'000}; ///< how long the platform's log keeps records
    std::int64_t body_limit_bytes = 1'048'576;
    double memory_mb = 0;             ///< that the process may use; 0: not known
    std::int64_t max_descriptors = 0; ///< that the process may open; 0: its resource limit

    /// Errors carry `invalid_settings` and name file, member and what was expected.
    static absl::StatusOr<router_settings> load(std::string const& file);
};

} // namespace almondcart
