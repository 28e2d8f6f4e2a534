#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/http_headers.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace almondcart {

namespace detail {
class client_call;
class connection_pool;
} // namespace detail

/// Request for an `http_client`. Timeouts of 0 never expire.
struct http_request
{
    std::string address; ///< "ip:port"
    std::string method = "GET";
    std::string path = "/"; ///< with query
    http_headers headers;   ///< without Host, Connection and Content-Length, which the client adds
    std::string body;
    duration connect_timeout{1000};
    duration first_byte_timeout{30'000}; ///< from the connection to the head of the response
    duration idle_timeout{30'000};       ///< between two parts of the body

    /// Largest body of the response; 0: no limit, for a caller that limits what it keeps itself.
    std::size_t body_limit_bytes = std::size_t{64} * 1024 * 1024;

    /// Whether an idle connection may be reused. A server may close such a connection while the
    /// request is under way, and it is then unknown whether the request ran.
    bool is_connection_reusable = true;
};

/// Head of a response.
struct http_response_head
{
    int status = 0;
    http_headers headers;
};

/// Callbacks of one request. `on_done` is the last one called; after `cancel` none is called. None
/// is called before `http_client::request` has returned.
struct http_callbacks
{
    std::function<void(http_response_head const&)> on_headers;
    std::function<void(std::string_view)> on_body; ///< called for each part as it arrives
    std::function<void(absl::Status)> on_done;     ///< OK: the response is complete
};

/// Handle of a request. Copies refer to the same request; destruction does not cancel it.
class http_call
{
public:
    http_call() = default;

    /// Closes the connection. No callback runs after this call.
    void cancel();

    /// Whether `on_done` has yet to be called.
    bool is_active() const { return !call_.expired(); }

private:
    friend class http_client;

    explicit http_call(std::weak_ptr<detail::client_call> call)
        : call_(std::move(call))
    {}

    std::weak_ptr<detail::client_call> call_;
};

/// HTTP/1.1 client on an event loop. It never retries a request.
///
/// Errors passed to `on_done`: `no_upstream` if no byte of the request was sent, because the
/// connection was refused or not established in time; `upstream_lost` for everything later, in
/// which case the request may have run; `internal_error` for an invalid address. A response that is
/// malformed, or whose head or body is too large, counts as lost, and its connection is closed.
class http_client
{
public:
    explicit http_client(event_loop& loop);

    /// Cancels all requests.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    http_call request(http_request request, http_callbacks callbacks);

    std::size_t active_count() const;

private:
    friend class detail::client_call;

    struct state;

    std::unique_ptr<state> state_;
};

/// Whether `status`, from `http_client`, proves that no byte of the request was sent, so that the
/// request did not run.
bool is_request_unsent(absl::Status const& status);

} // namespace almondcart
