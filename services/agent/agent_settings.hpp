#pragma once

#include <almondcart/core/instant.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

enum class upstream_kind
{
    engine,  ///< model engine with streamed chat completions
    service, ///< plain HTTP service; calls are passed through
};

/// Settings of `almondcart-agent`.
struct agent_settings
{
    std::string name;
    std::string upstream; ///< name in the service's document
    std::string listen;
    std::string advertise; ///< address at which routers reach the agent
    std::string availability_zone;
    std::string upstream_address;
    upstream_kind kind = upstream_kind::engine;
    bool does_upstream_check_fencing = false;
    std::vector<std::string> routers; ///< peer addresses
    std::string log_level = "info";
    double memory_mb = 0;             ///< that the process may use; 0: not known
    std::int64_t max_descriptors = 0; ///< that the process may open; 0: its resource limit

    int slots = 8;                              ///< requests that run concurrently
    std::int64_t output_limit_bytes = 33554432; ///< retained output of all requests
    std::int64_t unacknowledged_limit = 50'000; ///< usage items
    std::int64_t answer_limit_bytes = 8388608;  ///< body of one plain response
    duration output_retention{120'000};
    duration idle_retention{30'000};
    duration usage_offer_after{5'000};
    duration heartbeat_interval{1'000};
    duration first_byte_timeout{120'000}; ///< of idempotent calls to the upstream
    duration idle_timeout{60'000};        ///< between two parts of an idempotent response
    duration probe_interval{200};         ///< while the upstream is down
    duration shutdown_timeout{60'000};    ///< maximum duration of a graceful stop

    /// Limit of all responses of the upstream together that are being received, in bytes.
    std::size_t response_buffer_bytes() const;

    /// Reads a file and rejects unknown or missing members. Errors carry `invalid_settings`.
    static absl::StatusOr<agent_settings> load(std::string const& file);
};

} // namespace almondcart
