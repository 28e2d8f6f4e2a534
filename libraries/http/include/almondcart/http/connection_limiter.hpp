#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace almondcart {

/// What the clients of a process may hold together.
struct connection_limits
{
    /// Bytes of all connections: buffers by capacity, copies of bodies, responses not yet taken.
    std::size_t bytes = std::size_t{16} * 1024 * 1024;
    std::size_t connections = 512;

    /// Limits of a process with this memory in MB and this many descriptors; 0 if not known.
    static connection_limits derive(double memory_mb, std::int64_t max_descriptors);

    /// Bytes of one client address.
    std::size_t address_bytes() const { return bytes / 4 * 3; }

    /// Bytes of requests that have been received in full and have no response yet, without what
    /// each connection counts for. Responses are not among them: those that clients do not take are
    /// closed, and programs bound what they answer.
    std::size_t handled_bytes() const { return bytes / 2; }
};

/// Limit for which a connection was closed or a request refused.
enum class connection_limit
{
    connections,
    bytes,
    address_bytes,
    handled_bytes,
    progress,
};

constexpr std::size_t connection_limit_count = 5;

std::string_view name_of(connection_limit limit);

enum class connection_phase
{
    idle,      ///< no byte of a request has been received
    reading,   ///< a request is being received
    handling,  ///< a request has been received and nothing of its response waits for the client
    answering, ///< the client has not taken the response
};

class limited_connection;

/// Account of what the connections of all servers of a process hold. When it is exceeded, closes
/// those that hold most for longest: bytes times the time for which the connection has been idle,
/// has been receiving its request, or has taken nothing of its response. Requests that are being
/// handled are never closed; new ones are refused instead. Opens no socket.
class connection_limiter
{
public:
    struct hooks
    {
        /// Called for each connection closed and each request refused.
        std::function<void(connection_limit, std::string const& address)> on_limited;
    };

    connection_limiter(connection_limits limits, clock_function now);

    void set_hooks(hooks hooks) { hooks_ = std::move(hooks); }
    connection_limits const& limits() const { return limits_; }
    std::size_t connection_count() const { return connections_.size(); }
    std::size_t used_bytes() const { return used_bytes_; }

    /// Whether a request that takes `bytes` more may be handled now. A single one always may.
    bool allows_handling(std::size_t bytes) const;

    /// Closes connections until all limits hold that `cause` can have exceeded. `cause` itself may
    /// be among them.
    void enforce(limited_connection const& cause);

    /// Counts a closed connection or refused request; logs at most one line in ten seconds.
    void report(connection_limit limit, std::string const& address);

private:
    friend class limited_connection;

    limited_connection* find_victim(std::string const* address, bool is_for_bytes) const;
    void close_until(
        connection_limit limit,
        std::string const* address,
        std::function<bool()> const& is_exceeded);

    connection_limits limits_;
    clock_function now_;
    hooks hooks_;
    std::set<limited_connection*> connections_;
    std::map<std::string, std::size_t> address_bytes_;
    std::size_t used_bytes_ = 0;
    std::size_t handled_bytes_ = 0;
    std::size_t closing_count_ = 0;
    std::array<std::uint64_t, connection_limit_count> unlogged_{};
    instant next_log_{};
};

/// One connection in the account of a `connection_limiter`.
class limited_connection
{
public:
    /// `close` may destroy this object.
    using close_hook = std::function<void(connection_limit)>;

    limited_connection(
        std::shared_ptr<connection_limiter> limiter,
        std::string address,
        close_hook close);
    ~limited_connection();
    limited_connection(limited_connection const&) = delete;
    limited_connection& operator=(limited_connection const&) = delete;

    /// What a connection counts for beside the buffers that are given to `update`: the server's
    /// objects for it, request pool, headers and the kernel's socket.
    static constexpr std::size_t fixed_bytes = std::size_t{32} * 1024;

    /// Buffers up to which a connection is not closed for bytes, so that ordinary requests are
    /// served beside a crowd of large ones. `connection_limits::derive` bounds the sum of these.
    static constexpr std::size_t guaranteed_bytes = std::size_t{16} * 1024;

    void update(connection_phase phase, std::size_t bytes);

    /// Notes that the client took or sent something; for a response, its time counts from here.
    void note_progress();

    connection_phase phase() const { return phase_; }
    std::string const& address() const { return address_; }

    /// Whether a client that sends a request or takes a response has done nothing for too long.
    bool is_stalled() const;

private:
    friend class connection_limiter;

    void take(std::size_t fixed_bytes, std::size_t bytes);
    std::size_t held_bytes() const { return fixed_bytes_ + bytes_; }
    bool is_handled() const;

    std::shared_ptr<connection_limiter> limiter_;
    std::string address_;
    close_hook close_;
    connection_phase phase_ = connection_phase::idle;
    std::size_t fixed_bytes_ = 0;
    std::size_t bytes_ = 0;
    instant since_;    ///< start of the phase, or last progress of an answer
    instant progress_; ///< last byte sent or taken by the client
    bool is_closing_ = false;
};

} // namespace almondcart
