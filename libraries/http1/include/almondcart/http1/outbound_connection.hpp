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
    not_connected, ///< the connection failed before any byte of the request was sent
    not_answered,  ///< the connection was lost before the response head was complete
    broken_off,    ///< the connection was lost before the response was complete
    malformed,     ///< the received bytes are not a valid HTTP response
};

std::string_view name_of(exchange_outcome outcome);

/// Client side of one HTTP/1.1 connection, which carries one exchange at a time.
class outbound_connection
{
public:
    struct exchange_callbacks
    {
        /// Called with the response head. Returns false if the response belongs to another request;
        /// it is then discarded and the next response is awaited.
        std::function<bool(response_head const&)> on_head;
        std::function<void(std::string_view)> on_body;

        /// Last callback. The connection may be destroyed inside it.
        std::function<void(exchange_outcome)> on_end;
    };

    outbound_connection(event_loop& loop, socket_address const& address);

    /// Closes the connection; no callback runs afterwards.
    ~outbound_connection() = default;
    outbound_connection(outbound_connection const&) = delete;
    outbound_connection& operator=(outbound_connection const&) = delete;

    /// Sends a complete request. The connection must be idle.
    void send(std::string_view method, std::string_view request, exchange_callbacks callbacks);

    /// Sets a callback that runs once when the connection is lost or receives unexpected bytes
    /// while idle.
    void on_idle_end(std::function<void()> callback) { idle_end_callback_ = std::move(callback); }

    /// Whether another request may be sent on this connection.
    bool is_reusable() const { return is_open_ && is_reusable_ && !is_active_; }
    bool is_connected() const { return is_connected_; }

    /// Whether this connection has carried other exchanges before the current one.
    bool is_reused() const { return exchange_count_ > 1; }

    /// Idle timeout that the server announced in its `Keep-Alive` header, in seconds.
    std::optional<int> keep_alive_seconds() const { return keep_alive_seconds_; }

private:
    void receive(std::string_view data);
    bool receive_head(std::string_view& data);
    bool receive_body(std::string_view& data);
    bool begin_body(response_head const& head);
    void finish_exchange(exchange_outcome outcome);
    void on_stream_end(close_reason reason);

    std::string method_;
    exchange_callbacks callbacks_;
    std::function<void()> idle_end_callback_;
    std::string input_; ///< bytes of an incomplete head
    int exchange_count_ = 0;
    int received_heads_ = 0; ///< of the current exchange, with interim and rejected ones
    std::optional<body_decoder> decoder_;
    std::optional<int> keep_alive_seconds_;
    bool is_open_ = true;
    bool is_connected_ = false;
    bool is_active_ = false;
    bool is_reusable_ = true;
    bool is_head_accepted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< expires with this object
    std::unique_ptr<byte_stream> stream_;
};

} // namespace almondcart::http1
