#pragma once

#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace almondcart {

/// Connections to upstreams. Idle ones are kept for further requests to the same start of an
/// upstream.
class upstream_connections
{
public:
    using connection_pointer = std::shared_ptr<http1::outbound_connection>;

    explicit upstream_connections(event_loop& loop);

    /// Longest idle time of a connection that is still used. Servers close idle connections, and
    /// a request that crosses the close is lost; so requests that must not be repeated take only
    /// connections that were used a moment ago.
    static constexpr duration idle_limit{3000};
    static constexpr duration idle_limit_non_retryable{1500};

    /// Idle or new connection; null if the upstream has `limit` connections of this process.
    connection_pointer
    acquire(forwarding::upstream const& target, std::size_t limit, duration longest_idle);

    /// Takes back a connection whose exchange has ended. Anything but a reusable one is closed.
    void release(forwarding::upstream const& target, connection_pointer connection);

    /// Closes a connection in the middle of an exchange.
    void discard(forwarding::upstream const& target, connection_pointer connection);

    /// Closes the idle connections to an upstream that takes no more work.
    void close_idle(std::string const& upstream_id);

    /// Closes connections that have been idle for too long.
    void expire();

    std::size_t opened_count() const { return opened_count_; }

private:
    struct idle_connection
    {
        connection_pointer connection;
        instant since;
        duration limit;
    };

    struct pool
    {
        std::deque<idle_connection> idle; ///< oldest first
        std::size_t active = 0;
    };

    void drop_idle(std::string const& upstream_id, http1::outbound_connection const* connection);
    static std::string key_of(forwarding::upstream const& target);

    event_loop& loop_;
    std::unordered_map<std::string, pool> pools_;
    std::size_t opened_count_ = 0;
};

} // namespace almondcart
