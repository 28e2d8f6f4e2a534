#include <almondcart/core/status.hpp>
#include <almondcart/http/datagram_socket.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace almondcart {

namespace {

constexpr std::size_t max_datagram_bytes = 2048;

/// Datagrams handled per event, so that other events are not starved.
constexpr int receive_batch_limit = 64;

} // namespace

absl::StatusOr<std::unique_ptr<datagram_socket>>
datagram_socket::create(event_loop& loop, std::string_view address, handler on_datagram)
{
    auto const parsed = socket_address::parse(address);
    if (!parsed.ok())
        return parsed.status();
    int const fd = socket(parsed->family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || bind(fd, parsed->native(), parsed->size()) != 0)
    {
        auto status = make_status(
            result_code::invalid_settings,
            parsed->to_text() + ": no datagram socket: " + std::strerror(errno));
        if (fd >= 0)
            ::close(fd);
        return status;
    }
    return std::unique_ptr<datagram_socket>(new datagram_socket(loop, fd, std::move(on_datagram)));
}

datagram_socket::datagram_socket(event_loop& loop, int fd, handler on_datagram)
    : loop_(loop)
    , fd_(fd)
    , on_datagram_(std::move(on_datagram))
    , watch_(loop.watch(fd, [this] { receive(); }))
{}

datagram_socket::~datagram_socket()
{
    loop_.unwatch(watch_);
}

void datagram_socket::send(std::string_view data, socket_address const& receiver)
{
    sendto(fd_, data.data(), data.size(), MSG_NOSIGNAL, receiver.native(), receiver.size());
}

socket_address datagram_socket::address() const
{
    return socket_address::of_socket(fd_);
}

void datagram_socket::receive()
{
    std::array<char, max_datagram_bytes> buf{};
    for (int i = 0; i < receive_batch_limit; ++i)
    {
        sockaddr_storage sender{};
        socklen_t size = sizeof(sender);
        auto const n =
            recvfrom(fd_, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&sender), &size);
        if (n < 0)
            return;
        on_datagram_(
            {buf.data(), static_cast<std::size_t>(n)},
            socket_address::of_native(reinterpret_cast<sockaddr const*>(&sender), size));
    }
}

} // namespace almondcart
