#pragma once

#include <almondcart/http1/inbound_server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondcart::standins {

/// How an upstream stand-in responds to requests.
enum class upstream_mode
{
    single_body, ///< one body
    by_path, ///< as `stream` for paths that begin with "/stream/" or "/resume/", else `single_body`
    stream,  ///< events 1 to `event_count`, starting after Last-Event-Id
    truncated_stream,      ///< half of the events and part of one, then a closed connection
    unsigned_stream,       ///< without a seal header; half of the events, or the rest after
                           ///< Last-Event-Id, then a closed connection
    dropped_connection,    ///< executes the request and closes the connection
    not_executed,          ///< responds that the request was not executed
    unresponsive,          ///< executes the request and never responds
    server_error,          ///< executes the request and responds 500
    mismatched_request_id, ///< responds with the id of another request
    endless_body,          ///< a signed response whose body never ends
    endless_stream,        ///< events without end for the paths of streams, else `single_body`
};

/// Stand-in for an upstream of the platform. Executes requests in the selected mode, adds its seal
/// header to the responses, and counts executions by request id.
class upstream_standin
{
public:
    upstream_standin(event_loop& loop, std::string id);

    std::string const& id() const { return id_; }
    std::string address() const;

    /// Returns the registry entry as JSON. A non-empty `advertised_address` replaces the own
    /// address.
    std::string registry_entry(
        std::string const& service,
        std::string const& state,
        std::string const& advertised_address = {}) const;

    void set_mode(upstream_mode mode) { mode_ = mode; }

    /// Sets the availability zone of the registry entries from now on.
    void set_zone(std::string zone) { zone_ = std::move(zone); }

    /// While set, each response says that the upstream is leaving.
    void set_leaving(bool is_leaving) { is_leaving_ = is_leaving; }

    /// Sets the `Retry-After` of refusals, in the mode `not_executed`; empty for none.
    void set_retry_after(std::string seconds) { retry_after_ = std::move(seconds); }

    static constexpr int event_count = 6;

    /// Number of executions by request id.
    std::map<std::string, int> const& execution_counts() const { return execution_counts_; }

    /// Sets a callback for the start of each execution.
    void on_execution(std::function<void(std::string const& id)> callback)
    {
        execution_callback_ = std::move(callback);
    }

    /// Requests that fulfil `condition` crash this upstream: the connection closes without a
    /// response, and a new process, with a later start time, takes over. `callback` registers it.
    void crash_if(
        std::function<bool(http1::request_head const&)> condition,
        std::function<void()> callback)
    {
        crash_condition_ = std::move(condition);
        crash_callback_ = std::move(callback);
    }

    int crash_count() const { return crash_count_; }

    /// Sets a callback for each request that arrives, executed or not.
    void on_arrival(std::function<void(std::string const& id)> callback)
    {
        arrival_callback_ = std::move(callback);
    }

    /// Lets registry entries name a new process from now on.
    void restart() { ++start_count_; }

    /// Request lines and headers of all requests, executed or not.
    std::vector<http1::request_head> const& request_heads() const { return request_heads_; }

    /// Number of clients that disconnected while their request was executing.
    int disconnect_count() const { return disconnect_count_; }

    /// Completes paused streams, closes the connections of truncated ones, and drops unanswered
    /// requests.
    void release();

    /// While set, new streams pause after their first event until `release` is called.
    void set_streams_paused(bool are_streams_paused) { are_streams_paused_ = are_streams_paused; }

private:
    void handle(std::shared_ptr<http1::inbound_exchange> exchange);
    void crash(http1::inbound_exchange& exchange);
    void send_endlessly(
        std::shared_ptr<http1::inbound_exchange> const& exchange,
        std::function<std::string()> const& next_part);
    void start_endless_stream(std::shared_ptr<http1::inbound_exchange> const& exchange);
    void send_events(std::shared_ptr<http1::inbound_exchange> const& exchange, int first, int last);
    http_headers response_headers(http1::inbound_exchange const& exchange) const;

    event_loop& loop_;
    std::string id_;
    std::string zone_ = "zone-1";
    upstream_mode mode_ = upstream_mode::single_body;
    bool are_streams_paused_ = false;
    bool is_leaving_ = false;
    std::string retry_after_;
    std::map<std::string, int> execution_counts_;
    std::function<void(std::string const&)> execution_callback_;
    std::function<void(std::string const&)> arrival_callback_;
    int start_count_ = 1;
    std::function<bool(http1::request_head const&)> crash_condition_; ///< may be empty
    std::function<void()> crash_callback_;
    int crash_count_ = 0;
    std::vector<http1::request_head> request_heads_;
    std::vector<std::function<void()>> paused_;
    std::vector<std::shared_ptr<http1::inbound_exchange>> unanswered_;
    int disconnect_count_ = 0;
    std::unique_ptr<http1::inbound_server> server_;
};

} // namespace almondcart::standins
