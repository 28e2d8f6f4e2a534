#pragma once

#include <almondcart/http/http_client.hpp>

#include <h2o.h>

#include <memory>
#include <string>
#include <string_view>

#include "connection_pool.hpp"
#include "http_client_state.hpp"

namespace almondcart::detail {

/// Request in progress.
class client_call : public std::enable_shared_from_this<client_call>
{
public:
    client_call(http_client::state& client, http_request request, http_callbacks callbacks);
    ~client_call();
    client_call(client_call const&) = delete;
    client_call& operator=(client_call const&) = delete;

    void start();
    void cancel();

    /// Ends the call if more has arrived of its head than a head may have.
    void check_head_size();

private:
    static h2o_http1client_head_cb on_connect(
        h2o_http1client_t* native,
        char const* error,
        h2o_iovec_t** buffers,
        std::size_t* buffer_count,
        int* is_head_method);
    static int on_interim_response(
        h2o_http1client_t* native,
        int minor_version,
        int status,
        h2o_iovec_t message,
        h2o_header_t* headers,
        std::size_t header_count);
    static h2o_http1client_body_cb on_head(
        h2o_http1client_t* native,
        char const* error,
        int minor_version,
        int status,
        h2o_iovec_t message,
        h2o_header_t* headers,
        std::size_t header_count,
        int head_size);
    static int on_body(h2o_http1client_t* native, char const* error);

    void build_head();
    void set_timeout(duration timeout, char const* message);
    void close_connection();
    void end(absl::Status status);
    void fail(std::string_view detail);

    /// Counts bytes received in or around the body. Returns false if there are too many.
    bool count_received(std::size_t body_bytes, std::size_t all_bytes);
    bool receive_body();

    http_client::state* client_; ///< null after the call has ended
    http_request request_;
    http_callbacks callbacks_;
    std::shared_ptr<connection_pool> pool_;
    h2o_http1client_t* native_ = nullptr;
    std::string head_;
    h2o_iovec_t buffers_[2]{};
    timer timeout_;
    std::size_t body_bytes_ = 0;    ///< received so far
    std::size_t framing_bytes_ = 0; ///< received since the last part of the body
    int interim_response_count_ = 0;
    bool is_starting_ = false;
    bool is_sent_ = false;   ///< bytes of the request may have been sent
    bool is_in_h2o_ = false; ///< in an h2o callback; a negative result closes the connection
    bool is_cancelled_ = false;
    bool is_chunked_ = false; ///< the response has a transfer coding

    /// The response has neither a length nor a transfer coding.
    bool ends_with_connection_ = false;
};

} // namespace almondcart::detail
