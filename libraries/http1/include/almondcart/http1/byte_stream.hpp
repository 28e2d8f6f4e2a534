#pragma once

#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/socket_address.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondcart::http1 {

/// Reason why a byte stream was closed.
enum class close_reason
{
    closed_by_peer, ///< all bytes sent by the peer were received
    failed,         ///< connection refused, reset or timed out; bytes may be missing
};

/// Largest number of bytes passed to `on_data` at once.
inline constexpr std::size_t read_piece_bytes = std::size_t{64} * 1024;

/// Bytes received and sent by all streams of this process.
struct byte_totals
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// TCP connection on an event loop, based on h2o sockets. It reads continuously, unless it is
/// paused, so that a disconnect is detected at once. No callback runs after `on_end` or after
/// destruction.
class byte_stream
{
public:
    struct callbacks
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;

        /// Returns how many bytes may be read next, so that their owner takes the memory for them
        /// first. Reading is paused if it returns 0. Optional.
        std::function<std::size_t()> read_limit;
        std::function<void(close_reason)> on_end;

        /// Called each time all bytes passed to `write` have left the process.
        std::function<void()> on_drained;
    };

    /// Connects to `address`.
    static std::unique_ptr<byte_stream>
    connect(event_loop& loop, socket_address const& address, callbacks hooks);

    /// Takes over the accepted socket `fd`.
    static std::unique_ptr<byte_stream> adopt(event_loop& loop, int fd, callbacks hooks);

    /// Closes the connection and discards bytes that were not written yet.
    ~byte_stream();
    byte_stream(byte_stream const&) = delete;
    byte_stream& operator=(byte_stream const&) = delete;

    void write(std::string_view data);

    /// Writes `data` without a copy. `owner` keeps it unchanged until it is written.
    void write_shared(std::string_view data, std::shared_ptr<void const> owner);

    /// Lets the peer see a reset instead of an orderly end when the connection is closed.
    void reset_on_close();

    /// Stops reading, so that the peer is slowed down once the kernel's buffers are full. The end
    /// of the connection is not noticed meanwhile.
    void pause_reading();
    void resume_reading();

    /// Whether the peer has closed or reset the connection; for a stream that is paused.
    bool is_ended_by_peer() const;

    /// Limits what the kernel may hold of bytes that were not read yet, to about `bytes`.
    void set_receive_window(int bytes);

    static byte_totals const& totals();

    /// Number of open streams of this process, each with one descriptor.
    static std::size_t open_count();

    /// Number of bytes buffered for writing.
    std::size_t pending_bytes() const;

    /// Memory held for writing, in bytes.
    std::size_t write_capacity() const;

private:
    struct state;

    explicit byte_stream(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace almondcart::http1
