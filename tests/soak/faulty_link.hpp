#pragma once

#include <almondcart/core/random_sequence.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http1/byte_stream.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace almondcart::soak {

/// What a link does with the bytes of its connections.
enum class link_fault
{
    none,
    delayed,       ///< both directions arrive late
    cut_to_server, ///< nothing reaches the server until the fault ends; answers pass
    cut_to_client, ///< nothing reaches the client until the fault ends; requests pass
    silent,        ///< nothing passes either way until the fault ends
    closed,        ///< connections are closed, new ones at once after they are accepted
};

std::string_view name_of(link_fault fault);

/// Loopback proxy in front of one address, on the event loop of the soak.
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
        std::string to_server; ///< held back
        std::string to_client;
    };

    void accept_all(int listener);
    void open(int fd);
    void pass(std::uint64_t id, bool is_to_server, std::string_view data);
    void flush(std::uint64_t id, bool is_to_server);
    void close(std::uint64_t id);
    bool is_held(bool is_to_server) const;

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
