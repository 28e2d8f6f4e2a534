#pragma once

#include <almondcart/core/instant.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

namespace almondcart {

/// Settings of a gateway process, read from a JSON file. docs/configuration.md lists the members.
struct gateway_settings
{
    std::string name; ///< of the VM
    std::string availability_zone;
    std::string listen;           ///< "ip:port" for clients
    std::string readiness_listen; ///< "ip:port" for the load balancer
    std::string status_listen;    ///< "ip:port" for metrics
    std::string peer_listen;      ///< "ip:port" for other gateways
    std::string store_address;    ///< "ip:port" of the platform's store
    int relay_port = 0;           ///< of the relays on the VMs of engines; 0: there are none
    int load_port = 0;            ///< UDP port of the relays for queries of load; 0: none is asked
    int load_query_gateways = 16; ///< gateways in the fleet from which on the load is asked for
    std::string log_level = "info";
    duration shutdown_grace{8000};   ///< before the platform kills a stopping process
    std::size_t prepaid_topics = 1;  ///< for prepaid draws; the same on all gateways
    double link_mbps = 0;            ///< capacity of the VM's link in each direction; 0: unknown
    double memory_mb = 0;            ///< that the process may use; 0: unknown
    std::size_t max_descriptors = 0; ///< that the process may open; 0: unknown
    double retry_share = 0.1;        ///< retries per first attempt

    /// Largest response of an upstream that is not streamed, and largest event of a stream.
    std::size_t response_limit_bytes = std::size_t{1024} * 1024;

    /// Limit for what is buffered between clients and upstreams, in bytes. The rest of the memory
    /// is for connections, the configuration, the registry and what the store is asked for.
    std::size_t buffer_limit_bytes() const;

    /// Errors have the code `invalid_settings` and name the file, the member and the expected
    /// value.
    static absl::StatusOr<gateway_settings> load(std::string const& file);
};

} // namespace almondcart
