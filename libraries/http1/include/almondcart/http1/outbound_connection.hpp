#pragma once

#include <almondcart/http1/byte_stream.hpp>
#include <almondcart/http1/message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::http1 {

/// Outcome of an exchange with a server.
enum class exchange_outcome
{
    complete,
    withheld,      ///< `may_send` refused; no byte of the request was sent
    not_connected, ///< the connection failed before any byte of the request was sent
    not_answered,  ///< the connection was lost before the response head was complete
    broken_off,    ///< the connection was lost before the response was complete
    malformed,     ///< the received bytes are not a valid HTTP response
};

std::string_view name_of(exchange_outcome outcome);

/// Client side of one HTTP/1.1 connection, which carries one exchange at a time.
///
/// Each callback may destroy the connection, or send the next request in `on_end`.
class outbound_connection
{
public:
    struct exchange_callbacks
    {
        /// Asked before the first byte is sent if the connection is established only after the
        /// call of `send`. If it returns false, the exchange ends as `withheld`.
        std::function<bool()> may_send;

        /// Called with the response head. Returns false if the response belongs to another request;
        /// it is then discarded and the next response is awaited.
        std::function<bool(response_head const&)> on_head;
        std::function<void(std::string_view)> on_body;

        /// Last callback.
        std::function<void(exchange_outcome)> on_end;
    };

    outbound_connection(event_loop& loop, socket_address const& address);

    /// Closes the connection; no callback runs afterwards.
    ~outbound_connection();
    outbound_connection(outbound_connection const&) = delete;
    outbound_connection& operator=(outbound_connection const&) = delete;

    /// Sends a complete request. The connection must be idle.
    void send(std::string_view method, std::string_view request, exchange_callbacks callbacks);

    /// Sends a request whose body is not copied. `owner` keeps the body unchanged until it is sent.
    void send(
        std::string_view method,
        std::string_view head,
        std::string_view body,
        std::shared_ptr<void const> owner,
        exchange_callbacks callbacks);

    /// Stops and continues reading the response, so that the server does not send faster than the
    /// response is passed on. The next exchange reads in any case.
    void pause_reading();
    void resume_reading();

    /// Sets a callback that runs once when the connection is lost or receives unexpected bytes
    /// while idle.
    void on_idle_end(std::function<void()> callback);

    /// Whether another request may be sent on this connection.
    bool is_reusable() const;
    bool is_connected() const;

    /// Whether this connection has carried other exchanges before the current one.
    bool is_reused() const;

    /// Idle timeout that the server announced in its `Keep-Alive` header, in seconds.
    std::optional<int> keep_alive_seconds() const;

private:
    struct state;

    /// Shared with the callbacks of the stream that are running, which may destroy the connection.
    std::shared_ptr<state> state_;
};

} // namespace almondcart::http1
