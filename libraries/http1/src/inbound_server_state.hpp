#pragma once

#include <almondcart/http1/inbound_server.hpp>

#include <h2o.h>

#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace almondcart::http1 {

/// Receive buffer of each accepted connection in the kernel, which doubles it for its own
/// structures. A body of more bytes gets a larger one while there is memory.
inline constexpr int inbound_receive_bytes = 8 * 1024;

/// State shared by a server and its connections.
struct inbound_server::state
{
    state(event_loop& owner, handler function)
        : loop(owner)
        , handle(std::move(function))
    {}

    using connection_pointer = std::shared_ptr<inbound_connection>;

    /// Whether requests on new connections are refused, because few connections are left.
    bool is_crowded() const;

    /// Closes connections that make no progress if few are left.
    void make_room_for_connections();

    /// Lets paused connections continue, and refuses what holds memory without progress while
    /// others wait for it.
    void relieve();

    void note(client_limit limit, std::string const& address) const
    {
        if (limit_callback)
            limit_callback(limit, address);
    }

    event_loop& loop;
    handler handle;
    inbound_limits limits;
    h2o_socket_t* listener = nullptr;
    bool is_draining = false;
    std::size_t connection_limit = std::numeric_limits<std::size_t>::max();
    std::function<void(client_limit, std::string const&)> limit_callback;
    std::shared_ptr<buffer_budget> buffers =
        std::make_shared<buffer_budget>(std::numeric_limits<std::size_t>::max());
    std::unordered_map<inbound_connection*, connection_pointer> connections;
    std::unordered_set<inbound_connection*> paused; ///< connections whose reading is paused
    timer relief_timer;

private:
    std::vector<connection_pointer> stalled(instant now) const;
    void refuse_stalled(instant now);
};

} // namespace almondcart::http1
