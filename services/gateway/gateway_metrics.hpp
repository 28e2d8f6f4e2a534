#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/http/metrics.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondcart {

/// Prometheus metrics of a gateway.
class gateway_metrics
{
public:
    void count_outcome(std::string_view kind, std::string_view outcome);
    void count_attempt(std::string_view result);

    /// `has_events` tells whether the client has received part of the answer.
    void count_lost_attempt(std::string_view result, bool has_events);

    void observe_first_byte(std::string_view kind, duration time);
    void observe_total(std::string_view kind, duration time);
    void count_transfer(std::string_view result, std::int64_t tokens);
    void set_gauges(
        std::size_t connections,
        std::size_t opened,
        std::int64_t store_calls,
        std::int64_t overloaded_store_calls);
    void set_store_path(bool is_direct, std::size_t relays);

    void set_buffered_bytes(std::size_t n);
    void set_limits(std::size_t connections, std::size_t streams, std::size_t buffer_bytes);
    void set_open_streams(std::size_t n);

    /// Counts a client that a limit turned away.
    void count_client_limit(std::string_view limit);

    /// Counts what an upstream said of itself in a response.
    void count_statement(std::string_view statement);

    /// Counts a report to the other gateways: of a crash, or of an answer to a suspected request.
    void count_crash_report(bool is_crash);
    void set_quarantined(std::size_t features);

    /// Numbers of drained availability zones and of the registered upstreams in them.
    void set_drained(std::size_t zones, std::size_t upstreams);

    /// Counts a request that was refused because all upstreams are in drained zones.
    void count_drain_refusal();

    /// `kept_away` is the number of times since the start that a request was kept away from a cold
    /// upstream.
    void set_cold_starts(std::size_t upstreams, std::int64_t kept_away, std::size_t gateways);

    /// Counts a request for which engines were asked for their load.
    void count_load_round(bool is_answered);
    metrics& registry() { return metrics_; }

private:
    metrics metrics_;
};

} // namespace almondcart
