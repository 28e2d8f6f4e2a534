#include <almondcart/core/status.hpp>
#include <almondcart/http1/inbound_server.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include "inbound_connection.hpp"

namespace almondcart::http1 {

namespace {

/// Connections accepted per event, so that other events are not starved.
constexpr int accept_batch_limit = 32;

constexpr int listen_backlog = 1024;

constexpr duration relief_interval{50};

/// Address of the peer without the port; empty if it is not known.
std::string peer_of(int fd)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return {};
    void const* const source =
        address.ss_family == AF_INET
            ? static_cast<void const*>(&reinterpret_cast<sockaddr_in const&>(address).sin_addr)
            : static_cast<void const*>(&reinterpret_cast<sockaddr_in6 const&>(address).sin6_addr);
    return inet_ntop(address.ss_family, source, text.data(), text.size()) == nullptr ? ""
                                                                                     : text.data();
}

void accept_all(std::shared_ptr<inbound_server::state> const& server, int listener)
{
    server->make_room_for_connections();
    for (int i = 0; i < accept_batch_limit; ++i)
    {
        int const fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (server->connections.size() >= server->connection_limit)
        {
            server->note(client_limit::connections, peer_of(fd));
            ::close(fd);
            continue;
        }
        auto const connection =
            std::make_shared<inbound_connection>(server, server->loop, peer_of(fd));
        server->connections.emplace(connection.get(), connection);
        connection->open(fd);
    }
}

absl::StatusOr<int> listen_on(std::string const& text)
{
    auto address = socket_address::parse(text);
    if (!address.ok())
        return address.status();
    int const fd = socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Accepted connections inherit it, also those that wait to be accepted.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &inbound_receive_bytes, sizeof(inbound_receive_bytes));
    if (bind(fd, address->native(), address->size()) == 0 && listen(fd, listen_backlog) == 0)
        return fd;
    auto status = make_status(
        result_code::invalid_settings, "cannot listen on " + text + ": " + std::strerror(errno));
    ::close(fd);
    return status;
}

} // namespace

inbound_server::inbound_server(std::shared_ptr<state> state)
    : state_(std::move(state))
{}

absl::StatusOr<std::unique_ptr<inbound_server>>
inbound_server::create(event_loop& loop, std::string const& address, handler handle)
{
    auto const fd = listen_on(address);
    if (!fd.ok())
        return fd.status();
    auto server = std::make_shared<state>(loop, std::move(handle));
    server->listener = loop.watch(
        *fd,
        [weak = std::weak_ptr<state>(server), fd = *fd]
        {
            if (auto const self = weak.lock())
                accept_all(self, fd);
        });
    server->relief_timer = loop.every(
        relief_interval,
        [weak = std::weak_ptr<state>(server)]
        {
            if (auto const self = weak.lock())
                self->relieve();
        });
    return std::unique_ptr<inbound_server>(new inbound_server(std::move(server)));
}

inbound_server::~inbound_server()
{
    state_->relief_timer.cancel();
    state_->loop.unwatch(state_->listener);
    for (auto const& [key, connection] : std::exchange(state_->connections, {}))
        connection->close();
}

void inbound_server::set_limits(inbound_limits limits)
{
    state_->limits = limits;
}

void inbound_server::set_buffer_budget(std::shared_ptr<buffer_budget> budget)
{
    state_->buffers = std::move(budget);
}

void inbound_server::set_connection_limit(std::size_t n)
{
    state_->connection_limit = n;
}

void inbound_server::on_limit(std::function<void(client_limit, std::string const&)> callback)
{
    state_->limit_callback = std::move(callback);
}

void inbound_server::set_draining(bool is_draining)
{
    state_->is_draining = is_draining;
}

void inbound_server::close_idle()
{
    std::vector<std::shared_ptr<inbound_connection>> idle;
    for (auto const& [key, connection] : state_->connections)
    {
        if (connection->is_idle())
            idle.push_back(connection);
    }
    for (auto const& connection : idle)
        connection->close();
}

std::size_t inbound_server::connection_count() const
{
    return state_->connections.size();
}

std::size_t inbound_server::busy_count() const
{
    std::size_t n = 0;
    for (auto const& [key, connection] : state_->connections)
        n += connection->is_busy() ? 1 : 0;
    return n;
}

int inbound_server::port() const
{
    return socket_address::of_socket(h2o_socket_get_fd(state_->listener)).port();
}

} // namespace almondcart::http1
