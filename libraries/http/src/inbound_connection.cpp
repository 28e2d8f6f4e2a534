#include "inbound_connection.hpp"

#include <linux/tcp.h>
#include <netdb.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "exchange_link.hpp"
#include "server_core.hpp"

namespace almondcart::detail {

namespace {

/// Input buffers above this are not kept for the next request; h2o never shrinks them.
constexpr std::size_t kept_buffer_bytes = std::size_t{64} * 1024;

/// Most unread bytes that are discarded before a close, so that the client gets the refusal rather
/// than a reset.
constexpr std::size_t discard_bytes = std::size_t{256} * 1024;

constexpr std::string_view overloaded_text =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n"
    "content-type: text/plain\r\ncontent-length: 11\r\n\r\noverloaded\n";
constexpr std::string_view timeout_text =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n"
    "content-type: text/plain\r\ncontent-length: 8\r\n\r\ntimeout\n";

std::string numeric_host(h2o_socket_t* socket)
{
    sockaddr_storage address{};
    std::array<char, NI_MAXHOST> text{};
    auto* const native = reinterpret_cast<sockaddr*>(&address);
    auto const size = h2o_socket_getpeername(socket, native);
    if (size == 0)
        return "unknown";
    auto const length = h2o_socket_getnumerichost(native, size, text.data());
    return length == SIZE_MAX ? "unknown" : std::string(text.data(), length);
}

std::uint64_t bytes_taken_by_peer(int fd)
{
    tcp_info information{};
    socklen_t size = sizeof(information);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &information, &size) != 0)
        return 0;
    return information.tcpi_bytes_acked;
}

std::size_t bytes_unread(int fd)
{
    int count = 0;
    return ioctl(fd, FIONREAD, &count) == 0 ? static_cast<std::size_t>(count) : 0;
}

} // namespace

void inbound_connection::add(std::shared_ptr<server_core> core, h2o_socket_t* socket)
{
    std::shared_ptr<inbound_connection> const self(new inbound_connection(std::move(core), socket));
    socket->on_close.data = new std::shared_ptr<inbound_connection>(self);
    socket->on_close.cb = [](void* data)
    {
        std::unique_ptr<std::shared_ptr<inbound_connection>> const closed(
            static_cast<std::shared_ptr<inbound_connection>*>(data));
        auto& it = **closed;
        it.core_->remove_connection(std::exchange(it.socket_, nullptr));
    };
    self->watch_reads();
    self->update_and_enforce();
}

inbound_connection& inbound_connection::of(h2o_socket_t* socket)
{
    return **static_cast<std::shared_ptr<inbound_connection>*>(socket->on_close.data);
}

inbound_connection::inbound_connection(std::shared_ptr<server_core> core, h2o_socket_t* socket)
    : core_(std::move(core))
    , socket_(socket)
    , fd_(h2o_socket_get_fd(socket))
    , account_(
          core_->limiter(),
          numeric_host(socket),
          [this](connection_limit limit) { close(limit); })
{}

void inbound_connection::handle_read(h2o_socket_t* socket, char const* error)
{
    auto const self = of(socket).shared_from_this();
    auto const callback = self->read_callback_;
    if (error == nullptr)
    {
        self->account_.note_progress();
        self->update_and_enforce();
        if (self->socket_ == nullptr)
            return;
    }
    callback(socket, error);
    bool const is_unwatched = self->socket_ != nullptr && self->link_ == nullptr &&
                              socket->_cb.read != &inbound_connection::handle_read;
    if (is_unwatched)
        self->core_->watch_reads_later(self);
}

bool inbound_connection::watch_reads()
{
    if (socket_ == nullptr || link_ != nullptr)
        return true;
    if (socket_->_cb.read == nullptr)
        return false;
    if (socket_->_cb.read != &inbound_connection::handle_read)
        read_callback_ = std::exchange(socket_->_cb.read, &inbound_connection::handle_read);
    if (socket_->input->size == 0 && socket_->input->capacity > kept_buffer_bytes)
    {
        h2o_buffer_dispose(&socket_->input);
        h2o_buffer_init(&socket_->input, &h2o_socket_buffer_prototype);
    }
    update();
    return true;
}

void inbound_connection::set_link(exchange_link const* link)
{
    link_ = link;
    unread_bytes_ = link == nullptr ? 0 : bytes_unread(fd_);
    if (link == nullptr)
        core_->watch_reads_later(shared_from_this());
    update();
}

bool inbound_connection::allows_handling(std::size_t copied_bytes) const
{
    bool const is_allowed = core_->limiter()->allows_handling(held_bytes() + copied_bytes);
    if (!is_allowed)
        core_->limiter()->report(connection_limit::handled_bytes, account_.address());
    return is_allowed;
}

void inbound_connection::note_progress()
{
    account_.note_progress();
    update();
}

std::size_t inbound_connection::held_bytes() const
{
    // The prototype of buffers stands for one that is not allocated.
    auto const input = socket_->input->bytes == nullptr ? 0 : socket_->input->capacity;
    return input + unread_bytes_ + (link_ == nullptr ? 0 : link_->held_bytes());
}

void inbound_connection::update()
{
    if (socket_ == nullptr)
        return;
    auto phase = connection_phase::idle;
    if (link_ != nullptr)
        phase =
            link_->is_awaiting_client() ? connection_phase::answering : connection_phase::handling;
    else if (socket_->input->size > 0)
        phase = connection_phase::reading;
    account_.update(phase, held_bytes());
}

void inbound_connection::update_and_enforce()
{
    update();
    // Kept, because this connection itself may be closed.
    auto const limiter = core_->limiter();
    limiter->enforce(account_);
}

void inbound_connection::check_progress()
{
    if (socket_ == nullptr)
        return;
    if (link_ != nullptr)
    {
        unread_bytes_ = bytes_unread(fd_);
        if (std::exchange(taken_bytes_, bytes_taken_by_peer(fd_)) != taken_bytes_)
            account_.note_progress();
        update();
    }
    if (!account_.is_stalled())
        return;
    auto const limiter = core_->limiter();
    auto const address = account_.address();
    close(connection_limit::progress);
    limiter->report(connection_limit::progress, address);
}

void inbound_connection::close(connection_limit limit)
{
    if (socket_ == nullptr)
        return; // already closed by h2o
    auto const self = shared_from_this();
    bool const is_receiving =
        link_ == nullptr && socket_->_cb.read == &inbound_connection::handle_read;
    if (!is_receiving)
    {
        // h2o releases the connection when its write fails or its read ends.
        shutdown(fd_, SHUT_RDWR);
        return;
    }
    if (account_.phase() == connection_phase::reading)
    {
        // No handler has seen the request, so it has not run. All earlier responses have been
        // handed to the kernel.
        auto const text = limit == connection_limit::progress ? timeout_text : overloaded_text;
        send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        shutdown(fd_, SHUT_WR);
        recv(fd_, nullptr, discard_bytes, MSG_TRUNC | MSG_DONTWAIT);
    }
    read_callback_(socket_, h2o_socket_error_closed);
}

} // namespace almondcart::detail
