#pragma once

#include <almondcart/http1/byte_stream.hpp>
#include <almondcart/http1/message.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::http1 {

class inbound_connection;

/// What a client may send, and how long it may take.
struct inbound_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout{3000}; ///< from the first byte of a request to the end of its head
    duration idle_timeout{15'000}; ///< without a request in progress
};

/// One request of a client and its response. Calls after the end of the response or of the
/// connection have no effect. The last reference released without a response closes the connection.
class inbound_exchange
{
public:
    explicit inbound_exchange(std::weak_ptr<inbound_connection> connection);
    ~inbound_exchange();
    inbound_exchange(inbound_exchange const&) = delete;
    inbound_exchange& operator=(inbound_exchange const&) = delete;

    request_head const& head() const { return head_; }
    std::string const& body() const { return body_; }

    /// Sends a whole response. `headers` must not hold connection or framing headers.
    void respond(int status, http_headers const& headers, std::string_view body);

    /// Starts a response of unknown length.
    void start(int status, http_headers const& headers);
    void send(std::string_view data);

    /// Ends a started response; the client then knows that it is complete.
    void finish();

    /// Closes the connection, so that the client sees an incomplete response.
    void abort();

    /// Calls `callback` once if the client leaves before the end of the response.
    void on_disconnect(std::function<void()> callback) { disconnect_ = std::move(callback); }

    /// Bytes of the response that wait in this process.
    std::size_t pending_bytes() const;
    bool is_open() const { return !is_finished_ && !connection_.expired(); }

private:
    friend class inbound_connection;

    void write_head(int status, http_headers const& headers, std::optional<std::size_t> length);
    void complete();

    std::weak_ptr<inbound_connection> connection_;
    request_head head_;
    std::string body_;
    std::function<void()> disconnect_;
    bool is_started_ = false;
    bool is_finished_ = false;
    bool is_chunked_ = false;
    bool is_closing_ = false; ///< the connection ends with this response
};

/// HTTP/1.1 server with exact control over framing, early responses and connection ends.
class inbound_server
{
public:
    using handler = std::function<void(std::shared_ptr<inbound_exchange>)>;

    /// Binds and listens. Returns `invalid_settings` if the address cannot be used.
    static absl::StatusOr<std::unique_ptr<inbound_server>>
    create(event_loop& loop, std::string const& address, handler handle);

    /// Closes the listener and all connections.
    ~inbound_server();
    inbound_server(inbound_server const&) = delete;
    inbound_server& operator=(inbound_server const&) = delete;

    void set_limits(inbound_limits limits);

    /// While set, announces the end of each connection with its next response.
    void set_draining(bool is_draining);

    /// Closes the connections that have no request in progress.
    void close_idle();

    std::size_t connection_count() const;
    std::size_t exchange_count() const;
    int port() const;

    /// Shared with the connections.
    struct state;

private:
    explicit inbound_server(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace almondcart::http1
