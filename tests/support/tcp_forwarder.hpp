#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tcp.hpp"

namespace almondcart::test_support {

/// Forwards TCP connections to a target from its own thread. While cut, it neither forwards data
/// nor closes connections, as in a network partition; the delayed data arrives after `heal`.
class tcp_forwarder
{
public:
    explicit tcp_forwarder(std::string target);
    ~tcp_forwarder();

    std::string const& address() const { return address_; }
    void cut() { is_cut_ = true; }
    void heal() { is_cut_ = false; }

private:
    struct link
    {
        tcp_socket client;
        tcp_socket server;
    };

    void run();
    void accept_one();

    std::string target_;
    std::string address_;
    tcp_socket listener_;
    std::vector<link> links_;
    std::atomic<bool> is_cut_ = false;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

} // namespace almondcart::test_support
