#include "tcp.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

namespace almondcart::test_support {

namespace {

constexpr int lowest_port = 12'000;
constexpr int highest_port = 31'000;
constexpr int listen_backlog = 64;

/// Address that is used only to reserve ports, 127.0.0.2. No server listens on it.
constexpr in_addr_t reservation_host = INADDR_LOOPBACK + 1;

sockaddr_in to_socket_address(in_addr_t host, int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    it.sin_addr.s_addr = htonl(host);
    return it;
}

sockaddr_in to_socket_address(std::string const& address)
{
    return to_socket_address(INADDR_LOOPBACK, std::stoi(address.substr(address.find(':') + 1)));
}

// Close-on-exec, because a copy inherited by a child process would keep connections open.
tcp_socket create_socket()
{
    return tcp_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

/// Reserves a port until the socket is closed. Returns a closed socket if another runner has it.
/// The reservation is a bound socket, because the kernel releases it however the runner ends.
tcp_socket reserve_port(int port)
{
    auto it = create_socket();
    auto const target = to_socket_address(reservation_host, port);
    if (::bind(it.descriptor(), reinterpret_cast<sockaddr const*>(&target), sizeof target) != 0)
        return tcp_socket();
    return it;
}

} // namespace

tcp_socket::tcp_socket(tcp_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

tcp_socket::~tcp_socket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

std::string find_free_address()
{
    static std::mt19937 random{std::random_device{}()};
    static int port = std::uniform_int_distribution<int>(lowest_port, highest_port)(random);
    static std::vector<tcp_socket> reservations;
    for (int tries = lowest_port; tries < highest_port; ++tries)
    {
        port = port < highest_port ? port + 1 : lowest_port;
        auto reservation = reserve_port(port);
        auto const address = "127.0.0.1:" + std::to_string(port);
        if (!reservation.is_open() || !listen_on(address).is_open())
            continue;
        reservations.push_back(std::move(reservation));
        return address;
    }
    throw std::runtime_error("no free port");
}

tcp_socket connect_to(std::string const& address)
{
    auto it = create_socket();
    auto const target = to_socket_address(address);
    if (::connect(it.descriptor(), reinterpret_cast<sockaddr const*>(&target), sizeof target) != 0)
        return tcp_socket();
    return it;
}

tcp_socket listen_on(std::string const& address)
{
    auto it = create_socket();
    int const on = 1;
    ::setsockopt(it.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const target = to_socket_address(address);
    if (::bind(it.descriptor(), reinterpret_cast<sockaddr const*>(&target), sizeof target) != 0 ||
        ::listen(it.descriptor(), listen_backlog) != 0)
        return tcp_socket();
    return it;
}

} // namespace almondcart::test_support
