#pragma once

#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/socket_address.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

namespace almondcart {

/// UDP socket on an event loop. Datagrams may be lost, and one that cannot be sent at once is
/// dropped.
class datagram_socket
{
public:
    using handler = std::function<void(std::string_view data, socket_address const& sender)>;

    /// Binds to `address`, "ip:port"; port 0 takes a free one. Returns `invalid_settings` if that
    /// fails.
    static absl::StatusOr<std::unique_ptr<datagram_socket>>
    create(event_loop& loop, std::string_view address, handler on_datagram);

    ~datagram_socket();
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    void send(std::string_view data, socket_address const& receiver);

    socket_address address() const;

private:
    datagram_socket(event_loop& loop, int fd, handler on_datagram);
    void receive();

    event_loop& loop_;
    int fd_;
    handler on_datagram_;
    st_h2o_socket_t* watch_ = nullptr;
};

} // namespace almondcart
