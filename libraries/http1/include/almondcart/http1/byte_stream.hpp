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

/// Why a byte stream ended.
enum class close_reason
{
    closed_by_peer, ///< all bytes that the peer sent have arrived
    failed,         ///< refused, reset or timed out; bytes may be missing
};

/// Bytes of all streams of this process since its start.
struct byte_totals
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// TCP connection on an event loop, over h2o's sockets. Reads all the time, so that a peer that
/// leaves is noticed at once. After `on_end`, or after destruction, no callback runs.
class byte_stream
{
public:
    struct callbacks
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;
        std::function<void(close_reason)> on_end;
    };

    /// Connects to `address`.
    static std::unique_ptr<byte_stream>
    connect(event_loop& loop, socket_address const& address, callbacks hooks);

    /// Takes over the accepted socket `fd`.
    static std::unique_ptr<byte_stream> adopt(event_loop& loop, int fd, callbacks hooks);

    /// Closes the connection. Bytes that are not yet written are lost.
    ~byte_stream();
    byte_stream(byte_stream const&) = delete;
    byte_stream& operator=(byte_stream const&) = delete;

    void write(std::string_view data);

    static byte_totals const& totals();

    /// Bytes that wait in this process.
    std::size_t pending_bytes() const;

private:
    struct state;

    explicit byte_stream(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace almondcart::http1
