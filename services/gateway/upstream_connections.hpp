#pragma once

#include <almondcart/forwarding/drained_zones.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <cstddef>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

namespace almondcart {

/// Connection pool for upstreams. Idle connections are reused for requests to the same upstream id.
class upstream_connections
{
public:
    using connection_pointer = std::shared_ptr<http1::outbound_connection>;

    /// Both references must outlive this object.
    upstream_connections(event_loop& loop, forwarding::drained_zones const& drained);

    /// Limits the number of connections of clients and to upstreams in sum. At the limit idle ones
    /// to upstreams are closed, and no other is opened.
    void set_stream_limit(std::size_t n) { stream_limit_ = n; }

    /// Maximum idle time of a connection before reuse. A request sent while the server closes the
    /// idle connection is lost, so requests that must not be retried use a shorter limit.
    static constexpr duration idle_limit{3000};
    static constexpr duration idle_limit_non_retryable{1500};

    /// Returns an idle or new connection, or null if this process already uses `limit` connections
    /// to the upstream.
    connection_pointer
    acquire(forwarding::upstream const& target, std::size_t limit, duration longest_idle);

    /// Returns a connection to the pool after its exchange, or closes it if it cannot be reused.
    void release(forwarding::upstream const& target, connection_pointer connection);

    /// Closes a connection during an exchange.
    void discard(forwarding::upstream const& target, connection_pointer connection);

    /// Closes the idle connections to an upstream that accepts no more requests.
    void close_idle(std::string const& upstream_id);

    /// Closes connections whose idle time exceeds their limit.
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

    /// Closes idle connections at the stream limit. Returns whether another one may be opened.
    bool make_room();

    event_loop& loop_;
    std::size_t stream_limit_ = std::numeric_limits<std::size_t>::max();
    forwarding::drained_zones const& drained_;
    std::unordered_map<std::string, pool> pools_;
    std::size_t opened_count_ = 0;
};

} // namespace almondcart
