#pragma once

#include <almondcart/forwarding/engine_queue.hpp>
#include <almondcart/http/datagram_socket.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace almondcart {

/// Answers the gateways' queries about the load of the engine beside it, from what they announce.
class load_board
{
public:
    explicit load_board(event_loop& loop);

    /// Receives datagrams on `address`.
    absl::Status open(std::string const& address);

private:
    void receive(std::string_view data, socket_address const& sender);

    event_loop& loop_;
    forwarding::engine_queue queue_;
    std::unique_ptr<datagram_socket> socket_;
};

} // namespace almondcart
