#pragma once

#include <almondcart/http/connection_limiter.hpp>

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace almondcart::detail {

class server_core;
struct exchange_link;

/// Connection of a client to a server. h2o reads a whole body into the input buffer of its socket
/// and has no limit for the sum of these, so the read callback of the socket is replaced by one
/// that first enters the buffer's capacity in the account, and may close connections.
class inbound_connection : public std::enable_shared_from_this<inbound_connection>
{
public:
    /// Enters a socket that h2o has just accepted.
    static void add(std::shared_ptr<server_core> core, h2o_socket_t* socket);

    static inbound_connection& of(h2o_socket_t* socket);

    /// The request that is being handled, or null once h2o has released it.
    void set_link(exchange_link const* link);

    /// Whether a request that has been received may be handled with this many bytes of copies;
    /// if not, the refusal is counted.
    bool allows_handling(std::size_t copied_bytes) const;

    /// Notes that the client has taken a part of its response.
    void note_progress();

    /// Enters what the connection holds now in the account.
    void update();

    /// As `update`, and closes connections if limits are exceeded.
    void update_and_enforce();

    /// Replaces the read callback if h2o has set its own. Returns whether it is replaced or need
    /// not be.
    bool watch_reads();

    /// Called once a second: closes the connection if the client has done nothing for too long.
    void check_progress();

private:
    inbound_connection(std::shared_ptr<server_core> core, h2o_socket_t* socket);

    static void handle_read(h2o_socket_t* socket, char const* error);
    void close(connection_limit limit);
    std::size_t held_bytes() const;

    std::shared_ptr<server_core> core_;
    h2o_socket_t* socket_; ///< null once closed
    int fd_;
    h2o_socket_cb read_callback_ = nullptr;
    exchange_link const* link_ = nullptr;
    std::size_t unread_bytes_ = 0; ///< that the kernel holds while a request is handled
    std::uint64_t taken_bytes_ = 0;
    limited_connection account_;
};

} // namespace almondcart::detail
