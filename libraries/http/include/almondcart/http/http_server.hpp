#pragma once

#include <almondcart/http/connection_limiter.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/http_exchange.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondcart {

/// Settings of an `http_server`.
struct http_server_settings
{
    std::string address; ///< "ip:port"; port 0 selects a free port
    std::size_t body_limit =
        std::size_t{8} * 1024 * 1024; ///< bytes; larger requests get status 413

    /// What clients may hold, shared by the servers of a process; null: an account of this server
    /// alone with the default limits.
    std::shared_ptr<connection_limiter> limiter = nullptr;
};

/// HTTP/1.1 server on an event loop.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Binds and listens. Returns `invalid_settings` if the address cannot be used.
    static absl::StatusOr<std::unique_ptr<http_server>>
    create(event_loop& loop, http_server_settings settings);

    /// Closes the listener and all connections.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Calls `handle` for requests with this method, "*" for all, whose path equals `prefix` or
    /// continues it after a slash. The longest matching prefix wins. Other requests get status 404
    /// or 405.
    void route(std::string_view method, std::string_view prefix, handler handle);

    int port() const;

    /// Address with the actual port.
    std::string address() const;

    /// Stops accepting connections, lets exchanges in progress finish, and calls `done` when none
    /// remains. Requests that arrive meanwhile on open connections are still served; connections
    /// close after their response.
    void stop(std::function<void()> done);

    /// Stops accepting connections.
    void close_listener();

    /// Resumes accepting connections on the same port.
    absl::Status open_listener();

    /// Closes all connections immediately; clients see incomplete responses.
    void drop_connections();

    std::size_t connection_count() const;
    std::size_t exchange_count() const;

private:
    explicit http_server(std::shared_ptr<detail::server_core> core);

    std::shared_ptr<detail::server_core> core_;
};

} // namespace almondcart
