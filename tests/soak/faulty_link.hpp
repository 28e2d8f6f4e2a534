#pragma once

#include <almondcart/core/random_sequence.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http1/byte_stream.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace almondcart::soak {

/// Fault that a link applies to its connections.
enum class link_fault
{
    none,
    delayed,       ///< data is delayed in both directions
    cut_to_server, ///< data to the server is held back until the fault ends
    cut_to_client, ///< data to the client is held back until the fault ends
    silent,        ///< data is held back in both directions until the fault ends
    closed,        ///< connections are closed; new ones are reset after they are accepted
};

std::string_view name_of(link_fault fault);

/// Loopback TCP proxy in front of one address that injects faults. Runs on the soak's event loop.
class faulty_link
{
public:
    faulty_link(event_loop& loop, std::string target);
    ~faulty_link();
    faulty_link(faulty_link const&) = delete;
    faulty_link& operator=(faulty_link const&) = delete;

    std::string const& address() const { return address_; }
    void set_fault(link_fault fault);

private:
    struct connection
    {
        std::unique_ptr<http1::byte_stream> client;
        std::unique_ptr<http1::byte_stream> server;
        std::string to_server; ///< buffered data
        std::string to_client; ///< buffered data
    };

    void accept_all(int listener);
    void open(int fd);
    void forward(std::uint64_t id, bool is_to_server, std::string_view data);
    void flush(std::uint64_t id, bool is_to_server);
    void close(std::uint64_t id);
    bool is_blocked(bool is_to_server) const;

    event_loop& loop_;
    std::string target_;
    std::string address_;
    st_h2o_socket_t* listener_ = nullptr;
    link_fault fault_ = link_fault::none;
    std::uint64_t next_id_ = 0;
    std::map<std::uint64_t, connection> connections_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace almondcart::soak
