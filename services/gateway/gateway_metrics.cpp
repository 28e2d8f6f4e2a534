#include "gateway_metrics.hpp"

namespace almondcart {

namespace {

prometheus::Histogram::BucketBoundaries const& latency_bounds_s()
{
    static prometheus::Histogram::BucketBoundaries const bounds{
        0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 5, 15};
    return bounds;
}

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void gateway_metrics::count_outcome(std::string_view kind, std::string_view outcome)
{
    metrics_
        .counter(
            "almondcart_requests_total",
            "Requests by kind and outcome",
            {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
        .Increment();
}

void gateway_metrics::count_attempt(std::string_view result)
{
    metrics_
        .counter(
            "almondcart_attempts_total",
            "Requests sent to upstreams by result",
            {{"result", std::string(result)}})
        .Increment();
}

void gateway_metrics::count_lost_attempt(std::string_view result, bool has_events)
{
    metrics_
        .counter(
            "almondcart_attempts_lost_total",
            "Attempts that ended without a complete answer, by result and progress",
            {{"result", std::string(result)}, {"progress", has_events ? "begun" : "not_begun"}})
        .Increment();
}

void gateway_metrics::observe_first_byte(std::string_view kind, duration time)
{
    metrics_
        .histogram(
            "almondcart_first_byte_seconds",
            "Time from a request to the first byte of its answer",
            latency_bounds_s(),
            {{"kind", std::string(kind)}})
        .Observe(seconds(time));
}

void gateway_metrics::observe_total(std::string_view kind, duration time)
{
    metrics_
        .histogram(
            "almondcart_request_seconds",
            "Time from a request to the end of its answer",
            latency_bounds_s(),
            {{"kind", std::string(kind)}})
        .Observe(seconds(time));
}

void gateway_metrics::count_transfer(std::string_view result, std::int64_t tokens)
{
    prometheus::Labels const labels{{"result", std::string(result)}};
    metrics_.counter("almondcart_transfers_total", "Calls for tokens between gateways", labels)
        .Increment();
    metrics_
        .counter("almondcart_transferred_tokens_total", "Tokens given to or by gateways", labels)
        .Increment(static_cast<double>(tokens));
}

void gateway_metrics::set_gauges(
    std::size_t connections,
    std::size_t opened,
    std::int64_t store_calls,
    std::int64_t overloaded_store_calls)
{
    metrics_.gauge("almondcart_client_connections", "Open client connections")
        .Set(static_cast<double>(connections));
    metrics_.gauge("almondcart_upstream_connections_opened", "Connections opened to upstreams")
        .Set(static_cast<double>(opened));
    metrics_.gauge("almondcart_store_calls", "Calls to the platform's store")
        .Set(static_cast<double>(store_calls));
    metrics_
        .gauge(
            "almondcart_store_calls_overloaded",
            "Calls that the platform's store turned away because it gets too many")
        .Set(static_cast<double>(overloaded_store_calls));
}

void gateway_metrics::set_store_path(bool is_direct, std::size_t relays)
{
    metrics_.gauge("almondcart_store_direct", "1 if calls reach the store directly, 0 by relays")
        .Set(is_direct ? 1 : 0);
    metrics_.gauge("almondcart_store_relays", "Known relays to the store")
        .Set(static_cast<double>(relays));
}

void gateway_metrics::set_buffered_bytes(std::size_t n)
{
    metrics_
        .gauge("almondcart_buffered_bytes", "Bytes that wait for clients or belong to open bodies")
        .Set(static_cast<double>(n));
}

void gateway_metrics::set_limits(
    std::size_t connections,
    std::size_t streams,
    std::size_t buffer_bytes)
{
    metrics_.gauge("almondcart_client_connection_limit", "Largest number of client connections")
        .Set(static_cast<double>(connections));
    metrics_
        .gauge(
            "almondcart_stream_limit", "Largest number of connections of clients and to upstreams")
        .Set(static_cast<double>(streams));
    metrics_.gauge("almondcart_buffer_limit_bytes", "Limit for buffered bytes")
        .Set(static_cast<double>(buffer_bytes));
}

void gateway_metrics::set_open_streams(std::size_t n)
{
    metrics_.gauge("almondcart_open_streams", "Connections of clients and to upstreams")
        .Set(static_cast<double>(n));
}

void gateway_metrics::count_client_limit(std::string_view limit)
{
    metrics_
        .counter(
            "almondcart_client_limits_total",
            "Clients that were refused or closed because of a limit",
            {{"limit", std::string(limit)}})
        .Increment();
}

void gateway_metrics::count_statement(std::string_view statement)
{
    metrics_
        .counter(
            "almondcart_upstream_statements_total",
            "Statements of upstreams about themselves in responses",
            {{"statement", std::string(statement)}})
        .Increment();
}

void gateway_metrics::count_crash_report(bool is_crash)
{
    metrics_
        .counter(
            "almondcart_crash_reports_total",
            "Reports to other gateways about requests that may crash upstreams",
            {{"evidence", is_crash ? "crash" : "answer"}})
        .Increment();
}

void gateway_metrics::set_drained(std::size_t zones, std::size_t upstreams)
{
    metrics_.gauge("almondcart_drained_zones", "Availability zones that the operator has drained")
        .Set(static_cast<double>(zones));
    metrics_
        .gauge(
            "almondcart_drained_upstreams",
            "Registered upstreams that get no requests because their zone is drained")
        .Set(static_cast<double>(upstreams));
}

void gateway_metrics::set_cold_starts(
    std::size_t upstreams,
    std::int64_t kept_away,
    std::size_t gateways)
{
    metrics_.gauge("almondcart_cold_upstreams", "Upstreams that are cold or may be")
        .Set(static_cast<double>(upstreams));
    metrics_
        .gauge(
            "almondcart_cold_kept_away",
            "Times since the start that a request was kept away from a cold upstream")
        .Set(static_cast<double>(kept_away));
    metrics_.gauge("almondcart_known_gateways", "Gateways known, this one included")
        .Set(static_cast<double>(gateways));
}

void gateway_metrics::count_drain_refusal()
{
    metrics_
        .counter(
            "almondcart_drain_refusals_total",
            "Requests refused because all upstreams are in drained zones")
        .Increment();
}

void gateway_metrics::count_load_round(bool is_answered)
{
    metrics_
        .counter(
            "almondcart_load_queries_total",
            "Requests for which engines were asked for their load, by whether one answered",
            {{"answered", is_answered ? "yes" : "no"}})
        .Increment();
}

void gateway_metrics::set_quarantined(std::size_t features)
{
    metrics_
        .gauge(
            "almondcart_quarantined_features",
            "Contents and prompt parts with which requests are refused")
        .Set(static_cast<double>(features));
}

} // namespace almondcart
