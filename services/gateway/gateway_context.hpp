#pragma once

#include <almondcart/core/buffer_budget.hpp>
#include <almondcart/core/random_sequence.hpp>
#include <almondcart/forwarding/configuration.hpp>
#include <almondcart/forwarding/exchange_codec.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/routing/retry_budget.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "crash_reports.hpp"
#include "engine_placement.hpp"
#include "gateway_metrics.hpp"
#include "gateway_settings.hpp"
#include "prepaid_accounts.hpp"
#include "upstream_connections.hpp"

namespace almondcart {

/// Time after a stop signal during which new requests are accepted. The load balancer checks
/// readiness once a second and sends connections until two checks have failed.
inline constexpr duration drain_time{2500};

/// `Retry-After` of refused requests: short if another gateway may serve them at once, long if no
/// gateway is likely to serve them so soon.
inline constexpr duration retry_after_short{200};
inline constexpr duration retry_after_long{700};

/// State shared by the sessions of a gateway. All members outlive the sessions.
struct gateway_context
{
    event_loop& loop;
    gateway_settings const& settings;
    forwarding::exchange_codec const& codec;
    forwarding::configuration_pointer configuration; ///< null until one is loaded
    forwarding::upstream_directory& directory;
    forwarding::drained_zones& drained;
    forwarding::cold_start_limiter& cold_starts;
    forwarding::upstream_picker& picker;
    engine_placement& placement;
    prepaid_accounts& prepaid;
    upstream_connections& connections;
    crash_reports& crashes;
    gateway_metrics& metrics;
    std::shared_ptr<buffer_budget> buffers; ///< of all that waits for clients or upstreams
    std::map<std::string, retry_budget> retry_budgets; ///< by service
    bool is_ready = false;
    bool is_stopping = false;
    instant stop_time{};
    random_sequence random;

    retry_budget& retry_budget_of(std::string const& service);

    /// Latest exit time of a stopping process, with a margin before the platform kills it.
    instant stop_deadline() const;

    /// Whether this gateway may exit before a request that may take `limit` has ended, so that the
    /// client should retry at another gateway.
    bool would_outlast_shutdown(duration limit) const;
};

} // namespace almondcart
