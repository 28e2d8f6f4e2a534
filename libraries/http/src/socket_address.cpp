#include <almondcart/core/status.hpp>
#include <almondcart/http/socket_address.hpp>

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>

namespace almondcart {

namespace {

// The sockets API requires these casts between its address types.
sockaddr_in& as_ipv4(sockaddr_storage& storage)
{
    return reinterpret_cast<sockaddr_in&>(storage);
}

sockaddr_in6& as_ipv6(sockaddr_storage& storage)
{
    return reinterpret_cast<sockaddr_in6&>(storage);
}

} // namespace

absl::StatusOr<socket_address> socket_address::parse(std::string_view text)
{
    auto const error = make_status(
        result_code::invalid_settings,
        "\"" + std::string(text) + "\": expected a numeric address \"ip:port\"");
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return error;
    std::string host(text.substr(0, colon));
    std::string const port_text(text.substr(colon + 1));
    int port = 0;
    if (!absl::SimpleAtoi(port_text, &port) || port < 0 ||
        port > std::numeric_limits<std::uint16_t>::max())
        return error;

    socket_address address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        auto& ipv6 = as_ipv6(address.storage_);
        if (inet_pton(AF_INET6, host.c_str(), &ipv6.sin6_addr) != 1)
            return error;
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(static_cast<std::uint16_t>(port));
        address.size_ = sizeof(sockaddr_in6);
        return address;
    }
    auto& ipv4 = as_ipv4(address.storage_);
    if (inet_pton(AF_INET, host.c_str(), &ipv4.sin_addr) != 1)
        return error;
    ipv4.sin_family = AF_INET;
    ipv4.sin_port = htons(static_cast<std::uint16_t>(port));
    address.size_ = sizeof(sockaddr_in);
    return address;
}

socket_address socket_address::of_socket(int fd)
{
    socket_address address;
    address.size_ = sizeof(address.storage_);
    getsockname(fd, address.native(), &address.size_);
    return address;
}

socket_address socket_address::of_native(sockaddr const* address, socklen_t size)
{
    socket_address result;
    result.size_ = std::min<socklen_t>(size, sizeof(result.storage_));
    std::memcpy(&result.storage_, address, result.size_);
    return result;
}

sockaddr const* socket_address::native() const
{
    return reinterpret_cast<sockaddr const*>(&storage_);
}

sockaddr* socket_address::native()
{
    return reinterpret_cast<sockaddr*>(&storage_);
}

int socket_address::port() const
{
    auto storage = storage_;
    return ntohs(family() == AF_INET6 ? as_ipv6(storage).sin6_port : as_ipv4(storage).sin_port);
}

std::string socket_address::to_text() const
{
    auto storage = storage_;
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (family() == AF_INET6)
    {
        inet_ntop(AF_INET6, &as_ipv6(storage).sin6_addr, buf.data(), buf.size());
        return "[" + std::string(buf.data()) + "]:" + std::to_string(port());
    }
    inet_ntop(AF_INET, &as_ipv4(storage).sin_addr, buf.data(), buf.size());
    return std::string(buf.data()) + ":" + std::to_string(port());
}

} // namespace almondcart
