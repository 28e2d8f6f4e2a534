#pragma once

#include <almondcart/core/random_sequence.hpp>
#include <almondcart/forwarding/configuration.hpp>
#include <almondcart/forwarding/exchange_codec.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/routing/retry_budget.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gateway_metrics.hpp"
#include "gateway_settings.hpp"
#include "prepaid_accounts.hpp"
#include "upstream_connections.hpp"

namespace almondcart {

/// After a stop signal the load balancer still sends connections until it has missed two answers
/// of the readiness check, which it asks for once a second.
inline constexpr duration drain_time{2500};

/// When a refused caller may come back: where another router may serve it at once, and where it
/// depends on something that takes longer.
inline constexpr duration retry_soon{200};
inline constexpr duration retry_later{700};

/// What the sessions of a gateway share. All members outlive the sessions.
struct gateway_context
{
    event_loop& loop;
    gateway_settings const& settings;
    forwarding::exchange_codec const& codec;
    forwarding::configuration_pointer configuration; ///< null until one is known
    forwarding::upstream_directory& directory;
    forwarding::upstream_picker& picker;
    prepaid_accounts& prepaid;
    upstream_connections& connections;
    gateway_metrics& metrics;
    std::map<std::string, retry_budget> retries; ///< by service
    bool is_ready = false;
    bool is_stopping = false;
    instant stop_began{};
    random_sequence random;

    retry_budget& retries_of(std::string const& service);

    /// When a stopping process exits at the latest, with time to spare before it is killed.
    instant stop_deadline() const;

    /// Whether a request that may last for `limit` is to be sent to another router, because this
    /// one may have exited by then.
    bool is_too_late_for(duration limit) const;
};

} // namespace almondcart
