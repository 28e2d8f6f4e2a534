#pragma once

#include <almondcart/http1/byte_stream.hpp>
#include <almondcart/http1/message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::http1 {

/// How an exchange with a server ended.
enum class exchange_outcome
{
    complete,
    not_connected, ///< no byte of the request was sent
    not_answered,  ///< lost after the request was sent, before the head of a response
    broken_off,    ///< lost inside the response
    malformed,     ///< bytes that are no HTTP response
};

std::string_view name_of(exchange_outcome end);

/// Client side of one connection, which carries one exchange at a time.
class outbound_connection
{
public:
    struct exchange_callbacks
    {
        /// Returns false for a response that does not belong to the request; it is read and
        /// dropped, and the next one is awaited.
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

    /// Sends a whole request. The connection must be idle.
    void send(std::string_view method, std::string_view request, exchange_callbacks callbacks);

    /// Called once when the connection is lost, or receives unexpected bytes, while it is idle.
    void on_idle_end(std::function<void()> callback) { idle_end_ = std::move(callback); }

    /// Whether another request may be sent after the last exchange.
    bool is_reusable() const { return is_open_ && is_reusable_ && !is_active_; }
    bool is_connected() const { return is_connected_; }

    /// Seconds for which the server keeps the connection when idle, if it has said so.
    std::optional<int> keep_alive_seconds() const { return keep_alive_seconds_; }

private:
    void receive(std::string_view data);
    bool receive_head(std::string_view& data);
    bool receive_body(std::string_view& data);
    bool begin_body(response_head const& head);
    void end_exchange(exchange_outcome end);
    void end_stream(close_reason reason);

    std::string method_;
    exchange_callbacks callbacks_;
    std::function<void()> idle_end_;
    std::string input_; ///< unparsed bytes of a head
    std::optional<body_decoder> decoder_;
    std::optional<int> keep_alive_seconds_;
    bool is_open_ = true;
    bool is_connected_ = false;
    bool is_active_ = false;
    bool is_reusable_ = true;
    bool is_head_accepted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<byte_stream> stream_;
};

} // namespace almondcart::http1
