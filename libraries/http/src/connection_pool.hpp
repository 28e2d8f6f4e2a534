#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/socket_address.hpp>

#include <h2o.h>

namespace almondcart::detail {

/// Idle connections to one address.
class connection_pool
{
public:
    connection_pool(event_loop& loop, socket_address address);
    ~connection_pool();
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    h2o_socketpool_t* native() { return &pool_; }

    void begin_call() { ++active_count_; }
    void end_call(instant now);

    /// Whether the pool has been unused for at least `limit`.
    bool is_idle(instant now, duration limit) const;

private:
    socket_address address_;
    h2o_socketpool_t pool_{};
    int active_count_ = 0;
    instant last_use_{};
};

} // namespace almondcart::detail
