#pragma once

#include <absl/status/statusor.h>
#include <sys/socket.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Numeric IP address with port. Text form "127.0.0.1:80" or "[::1]:80".
class socket_address
{
public:
    /// Returns `invalid_settings` for text that does not have this form. Host names are not
    /// resolved.
    static absl::StatusOr<socket_address> parse(std::string_view text);

    /// Local address of the bound socket `fd`.
    static socket_address of_socket(int fd);

    /// Address of a peer, as the sockets API returned it.
    static socket_address of_native(sockaddr const* address, socklen_t size);

    sockaddr const* native() const;
    sockaddr* native();
    socklen_t size() const { return size_; }
    int family() const { return storage_.ss_family; }
    int port() const;
    std::string to_text() const;

private:
    sockaddr_storage storage_{};
    socklen_t size_ = 0;
};

} // namespace almondcart
