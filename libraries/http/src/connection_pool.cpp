#include "connection_pool.hpp"

namespace almondcart::detail {

namespace {

/// Idle connections kept per address.
constexpr std::size_t idle_connection_limit = 64;

/// Well below the time for which `http_server` keeps idle connections, so that a request is rarely
/// sent on a connection that the server is closing. It follows h2o's wall clock; setting the clock
/// only closes idle connections earlier or later.
constexpr std::uint64_t idle_connection_timeout_ms = 10'000;

} // namespace

connection_pool::connection_pool(event_loop& loop, socket_address address)
    : address_(address)
{
    h2o_socketpool_init_by_address(
        &pool_, address_.native(), address_.size(), 0, idle_connection_limit);
    h2o_socketpool_set_timeout(&pool_, loop.native(), idle_connection_timeout_ms);
}

connection_pool::~connection_pool()
{
    h2o_socketpool_dispose(&pool_);
}

void connection_pool::end_call(instant now)
{
    --active_count_;
    last_use_ = now;
}

bool connection_pool::is_idle(instant now, duration limit) const
{
    return active_count_ == 0 && now - last_use_ >= limit;
}

} // namespace almondcart::detail
