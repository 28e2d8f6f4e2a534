#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace almondcart {

/// Settings of a relay process, read from a JSON file. docs/configuration.md lists the members.
struct relay_settings
{
    std::string name;          ///< of the VM
    std::string listen;        ///< "ip:port" for gateways and metrics
    std::string store_address; ///< "ip:port" of the platform's store
    std::string load_listen;   ///< "ip:port" for datagrams about the engine's load; empty: none
    std::string log_level = "info";
    double memory_mb = 0;             ///< that the process may use; 0: not known
    std::int64_t max_descriptors = 0; ///< that the process may open; 0: its resource limit

    /// Errors have the code `invalid_settings` and name the file, the member and the expected
    /// value.
    static absl::StatusOr<relay_settings> load(std::string const& file);
};

} // namespace almondcart
