#pragma once

#include <almondcart/http1/inbound_server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondcart::standins {

/// How an upstream stand-in answers.
enum class upstream_mode
{
    single_body, ///< one body
    by_path, ///< as `stream` for paths that begin with "/stream/" or "/resume/", else `single_body`
    stream,  ///< events 1 to `event_count`, from the one after Last-Event-Id
    truncated_stream,      ///< half of the events, then half of an event and a closed connection
    dropped_connection,    ///< runs the request and closes the connection
    not_executed,          ///< states that it did not run the request
    unresponsive,          ///< runs the request and never answers
    server_error,          ///< a failure of its own
    mismatched_request_id, ///< first an answer to another request
};

/// Stand-in for an upstream of the platform: runs requests, signs its answers, remembers what ran.
class upstream_standin
{
public:
    upstream_standin(event_loop& loop, std::string id);

    std::string const& id() const { return id_; }
    std::string address() const;

    /// Entry in the registry; `reached_at` stands in for the own address, unless it is empty.
    std::string registry_entry(
        std::string const& service,
        std::string const& state,
        std::string const& reached_at = {}) const;

    void set_mode(upstream_mode mode) { mode_ = mode; }

    static constexpr int event_count = 6;

    /// Requests that ran, by id.
    std::map<std::string, int> const& execution_counts() const { return runs_; }

    /// Called for each request that begins to run.
    void on_execution(std::function<void(std::string const& id)> callback)
    {
        run_callback_ = std::move(callback);
    }

    /// Heads of all requests that arrived.
    std::vector<http1::request_head> const& request_heads() const { return heads_; }

    /// Callers that left while their request ran.
    int disconnect_count() const { return left_count_; }

    /// Ends streams and silent requests that wait.
    void release();

    /// Whether streams stop after their first event until `release`.
    void set_streams_paused(bool is_holding) { is_holding_ = is_holding; }

private:
    void handle(std::shared_ptr<http1::inbound_exchange> exchange);
    void send_events(std::shared_ptr<http1::inbound_exchange> const& exchange, int first, int last);
    http_headers headers_for(http1::inbound_exchange const& exchange) const;

    std::string id_;
    upstream_mode mode_ = upstream_mode::single_body;
    bool is_holding_ = false;
    std::map<std::string, int> runs_;
    std::function<void(std::string const&)> run_callback_;
    std::vector<http1::request_head> heads_;
    std::vector<std::function<void()>> held_;
    std::vector<std::shared_ptr<http1::inbound_exchange>> silent_;
    int left_count_ = 0;
    std::unique_ptr<http1::inbound_server> server_;
};

} // namespace almondcart::standins
