#pragma once

#include <almondcart/core/buffer_budget.hpp>
#include <almondcart/http1/body_buffer.hpp>
#include <almondcart/http1/byte_stream.hpp>
#include <almondcart/http1/client_limit.hpp>
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

/// Size limits and timeouts for client requests.
struct inbound_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout{3000}; ///< for the head of a request, and between parts of its body
    duration idle_timeout{15'000}; ///< while no request is in progress
};

/// One request and its response. Calls after the end of the response or of the connection have no
/// effect. Destroying the exchange before the response is complete closes the connection.
class inbound_exchange
{
public:
    explicit inbound_exchange(std::weak_ptr<inbound_connection> connection);
    ~inbound_exchange();
    inbound_exchange(inbound_exchange const&) = delete;
    inbound_exchange& operator=(inbound_exchange const&) = delete;

    request_head const& head() const { return head_; }
    std::string_view body() const { return body_.view(); }

    /// Sends a complete response. `headers` must not contain connection or framing headers.
    void respond(int status, http_headers const& headers, std::string_view body);

    /// Starts a response of unknown length.
    void start(int status, http_headers const& headers);
    void send(std::string_view data);

    /// Ends a started response, so that the client can tell that it is complete.
    void finish();

    /// Closes the connection once what was sent has been written, so that the client sees an
    /// incomplete response.
    void abort();

    /// Sets a callback that runs once if the client disconnects before the end of the response.
    void on_disconnect(std::function<void()> callback)
    {
        disconnect_callback_ = std::move(callback);
    }

    /// Sets a callback that runs each time all response bytes have left the process.
    void on_drained(std::function<void()> callback) { drained_callback_ = std::move(callback); }

    /// Number of response bytes buffered for writing.
    std::size_t pending_bytes() const;
    bool is_open() const { return !is_finished_ && !connection_.expired(); }

private:
    friend class inbound_connection;

    void write_head(int status, http_headers const& headers, std::optional<std::size_t> length);
    void complete();

    std::weak_ptr<inbound_connection> connection_;
    request_head head_;
    body_buffer body_;
    std::function<void()> disconnect_callback_;
    std::function<void()> drained_callback_;
    std::unique_ptr<buffer_account> body_account_;
    bool is_started_ = false;
    bool is_finished_ = false;
    bool is_chunked_ = false;
    bool is_closing_ = false; ///< the connection closes after this response
};

/// HTTP/1.1 server with control over framing, early responses and connection closure.
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

    /// Counts what is buffered for clients and from them in `budget`. Must be called before the
    /// first connection. A body that gets no room within a short time is refused with 503.
    void set_buffer_budget(std::shared_ptr<buffer_budget> budget);

    /// Limits the number of connections. Near the limit, requests on new ones are refused with 503,
    /// and connections that make no progress are closed.
    void set_connection_limit(std::size_t n);

    /// Sets a callback for each time a limit turns a client away, with the client's address.
    void on_limit(std::function<void(client_limit, std::string const&)> callback);

    /// While draining, each connection closes after its next response.
    void set_draining(bool is_draining);

    /// Closes the connections without a request in progress or a response being written.
    void close_idle();

    std::size_t connection_count() const;

    /// Connections with a request in progress or a response being written.
    std::size_t busy_count() const;
    int port() const;

    /// State shared with the connections.
    struct state;

private:
    explicit inbound_server(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace almondcart::http1
