#include "tcp_forwarder.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <utility>

namespace almondcart::test_support {

namespace {

constexpr int poll_ms = 20;
constexpr std::size_t buffer_size = 65'536;

/// Forwards the available data. Returns false if the connection has ended.
bool forward(tcp_socket const& from, tcp_socket const& to)
{
    std::array<char, buffer_size> buf{};
    auto const received = ::recv(from.descriptor(), buf.data(), buf.size(), 0);
    for (ssize_t sent = 0; sent < received;)
    {
        auto const n = ::send(
            to.descriptor(),
            buf.data() + sent,
            static_cast<std::size_t>(received - sent),
            MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += n;
    }
    return received > 0;
}

} // namespace

tcp_forwarder::tcp_forwarder(std::string target)
    : target_(std::move(target))
    , address_(find_free_address())
    , listener_(listen_on(address_))
    , thread_([this] { run(); })
{}

tcp_forwarder::~tcp_forwarder()
{
    is_stopping_ = true;
    thread_.join();
}

void tcp_forwarder::run()
{
    while (!is_stopping_)
    {
        if (is_cut_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(poll_ms));
            continue;
        }
        std::vector<pollfd> waiting = {{listener_.descriptor(), POLLIN, 0}};
        for (auto const& it : links_)
        {
            waiting.push_back({it.client.descriptor(), POLLIN, 0});
            waiting.push_back({it.server.descriptor(), POLLIN, 0});
        }
        if (::poll(waiting.data(), waiting.size(), poll_ms) <= 0 || is_cut_)
            continue;
        std::vector<link> kept;
        for (std::size_t i = 0; i < links_.size(); ++i)
        {
            auto& it = links_[i];
            bool const is_open =
                (waiting[2 * i + 1].revents == 0 || forward(it.client, it.server)) &&
                (waiting[2 * i + 2].revents == 0 || forward(it.server, it.client));
            if (is_open)
                kept.push_back(std::move(it));
        }
        links_ = std::move(kept);
        if (waiting[0].revents != 0)
            accept_one();
    }
}

void tcp_forwarder::accept_one()
{
    tcp_socket client(::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    auto server = connect_to(target_);
    if (client.is_open() && server.is_open())
        links_.push_back({std::move(client), std::move(server)});
}

} // namespace almondcart::test_support
