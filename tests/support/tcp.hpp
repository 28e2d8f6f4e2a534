#pragma once

#include <string>

namespace almondcart::test_support {

/// Socket that is closed on destruction.
class tcp_socket
{
public:
    explicit tcp_socket(int descriptor = -1)
        : descriptor_(descriptor)
    {}
    tcp_socket(tcp_socket&& other) noexcept;
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    ~tcp_socket();

    int descriptor() const { return descriptor_; }
    bool is_open() const { return descriptor_ >= 0; }

private:
    int descriptor_;
};

/// Returns a loopback address with a port that nothing listens on. Ports below the ephemeral range
/// are used, so that no outgoing connection takes one before its server starts. The port is
/// reserved for this process until it ends, so that no other runner takes it in that time either.
std::string find_free_address();

/// Both return a closed socket on failure.
tcp_socket connect_to(std::string const& address);
tcp_socket listen_on(std::string const& address);

} // namespace almondcart::test_support
