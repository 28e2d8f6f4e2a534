#pragma once

#include <almondcart/http/http_headers.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart {

namespace detail {
struct exchange_link;
class server_core;
} // namespace detail

/// One request to an `http_server` and its response. It is answered in one piece with `respond` or
/// as a stream with `start`, `send` and `finish`, immediately or later. Calls after the end of the
/// response or of the connection have no effect. An exchange that is released without a response
/// responds with status 500.
class http_exchange
{
public:
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    std::string const& method() const { return method_; }

    /// Path as sent by the client, without the query.
    std::string const& path() const { return path_; }

    /// Text after the question mark, without it.
    std::string const& query() const { return query_; }

    /// Value of `name` in the query, percent-decoded.
    std::optional<std::string> query_value(std::string_view name) const;

    /// Value of a request header, empty if there is none.
    std::string_view header(std::string_view name) const;
    http_headers const& headers() const { return headers_; }
    std::string const& body() const { return body_; }

    /// Sends a complete response.
    void respond(int status, http_headers const& headers, std::string body);

    /// Sends a complete response with a content type.
    void respond_text(int status, std::string_view content_type, std::string body);

    /// Starts a streamed response. h2o sends the head together with the first data.
    void start(int status, http_headers const& headers);

    /// Appends to a streamed response.
    void send(std::string_view data);

    /// Ends a streamed response; the client then knows that it is complete.
    void finish();

    /// Closes the connection without ending the response; the client sees that it is incomplete.
    void abort();

    /// Calls `callback` once when the client has closed or lost its connection before the end of
    /// the response. A client that closes only its sending half counts as disconnected.
    void on_disconnect(std::function<void()> callback);

    /// Calls `callback` each time all sent data has left the process. Together with `pending_bytes`
    /// this lets a handler apply backpressure for a slow client.
    void on_drained(std::function<void()> callback);

    /// Bytes of the response that are buffered in this process.
    std::size_t pending_bytes() const;

    /// Whether the response can still be sent: it has not ended and the client is connected.
    bool is_open() const { return link_ != nullptr && !is_finished_ && !is_disconnected_; }
    bool is_started() const { return is_started_; }
    bool is_disconnected() const { return is_disconnected_; }

private:
    friend struct detail::exchange_link;
    friend class detail::server_core;

    http_exchange() = default;

    void begin(int status, http_headers const& headers, std::size_t content_length);
    void flush();
    void proceed();
    void set_disconnected();
    void detach();

    std::string method_;
    std::string path_;
    std::string query_;
    http_headers headers_;
    std::string body_;

    detail::exchange_link* link_ = nullptr; ///< null when h2o has released the request
    std::string queue_;
    bool is_started_ = false;
    bool is_finished_ = false;
    bool is_disconnected_ = false;
    std::function<void()> disconnect_callback_;
    std::function<void()> drained_callback_;
};

} // namespace almondcart
