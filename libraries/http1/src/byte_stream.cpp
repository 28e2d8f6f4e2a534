#include <almondcart/http/connection_end.hpp>
#include <almondcart/http1/byte_stream.hpp>

#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace almondcart::http1 {

namespace {

/// Receive buffer in the kernel of a connection that this process opened.
constexpr int receive_buffer_bytes = 128 * 1024;

/// Buffers for writing with more capacity than this are released once they are empty.
constexpr std::size_t kept_capacity_bytes = 4096;

/// Bytes passed to the socket at once, so that `pending_bytes` shows how a slow peer reads.
constexpr std::size_t write_piece_bytes = std::size_t{64} * 1024;

/// Accessed only from the event loop's thread.
byte_totals& process_totals()
{
    static byte_totals value;
    return value;
}

std::size_t& process_open_count()
{
    static std::size_t value = 0;
    return value;
}

/// Buffer for all reads of the process. h2o's own input buffers would hold up to twice the kernel's
/// receive buffer for each connection.
std::array<char, read_piece_bytes>& read_buffer()
{
    static std::array<char, read_piece_bytes> value;
    return value;
}

void release_if_large(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > kept_capacity_bytes)
        std::string().swap(buffer);
}

} // namespace

/// Shared with the socket, because h2o may complete a write after the owner was destroyed.
struct byte_stream::state : std::enable_shared_from_this<byte_stream::state>
{
    event_loop& loop;
    callbacks hooks;
    h2o_socket_t* socket = nullptr;
    bool is_connected = false;
    bool is_paused = false;
    std::string writing;     ///< passed to h2o in pieces, unchanged until all are written
    std::size_t written = 0; ///< bytes of `writing` whose write has completed
    bool is_writing = false; ///< whether h2o holds a piece
    std::string queued;
    std::string_view shared; ///< to be written after `queued`, without a copy
    std::shared_ptr<void const> shared_owner;
    bool is_writing_shared = false; ///< whether the piece that h2o holds is one of `shared`

    state(event_loop& owner, callbacks functions)
        : loop(owner)
        , hooks(std::move(functions))
    {}

    static state& of(h2o_socket_t* socket) { return *static_cast<state*>(socket->data); }

    void start_reading()
    {
        is_connected = true;
        int const on = 1;
        int const fd = h2o_socket_get_fd(socket);
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        h2o_socket_dont_read(socket, 1);
        if (!is_paused)
            h2o_socket_read_start(socket, on_read);
    }

    /// Lets h2o poll for what the socket now waits for. After a write that completed at once it may
    /// go on polling for writing, and then ends the process by an assertion at the next event.
    void update_polling()
    {
        if (socket == nullptr)
            return;
        if (is_paused)
            h2o_socket_read_stop(socket);
        else
            h2o_socket_read_start(socket, on_read);
    }

    void set_paused(bool should_pause)
    {
        if (std::exchange(is_paused, should_pause) == should_pause || !is_connected ||
            socket == nullptr)
            return;
        update_polling();
    }

    void close()
    {
        hooks = {}; // also if there never was a socket, because its failure is reported later
        if (socket == nullptr)
            return;
        --process_open_count();
        h2o_socket_close(std::exchange(socket, nullptr));
    }

    void end(close_reason reason)
    {
        auto const on_end = std::move(hooks.on_end);
        close();
        if (on_end)
            on_end(reason);
    }

    /// Handles a read that reported the end of the connection.
    void end_input()
    {
        bool const is_complete = !is_reset(h2o_socket_get_fd(socket));
        end(is_complete ? close_reason::closed_by_peer : close_reason::failed);
    }

    void flush()
    {
        if (!is_connected || socket == nullptr || is_writing)
            return;
        if (written == writing.size())
        {
            written = 0;
            release_if_large(writing);
            writing.swap(queued);
        }
        if (writing.empty())
        {
            flush_shared();
            return;
        }
        auto const n = std::min(write_piece_bytes, writing.size() - written);
        process_totals().sent += n;
        is_writing = true;
        auto buf = h2o_iovec_init(writing.data() + written, n);
        h2o_socket_write(socket, &buf, 1, on_written);
    }

    void flush_shared()
    {
        if (shared.empty())
            return;
        auto const n = std::min(write_piece_bytes, shared.size());
        process_totals().sent += n;
        is_writing = true;
        is_writing_shared = true;
        auto buf = h2o_iovec_init(shared.data(), n);
        h2o_socket_write(socket, &buf, 1, on_written);
    }

    /// Copies what is not written yet of `shared`, so that other bytes can follow it.
    void queue_shared()
    {
        auto const n = is_writing_shared ? std::min(write_piece_bytes, shared.size()) : 0;
        queued += shared.substr(n);
        shared = shared.substr(0, n);
        if (shared.empty())
            shared_owner.reset();
    }

    void count_written()
    {
        if (!std::exchange(is_writing_shared, false))
        {
            written += std::min(write_piece_bytes, writing.size() - written);
            return;
        }
        shared.remove_prefix(std::min(write_piece_bytes, shared.size()));
        if (shared.empty())
            shared_owner.reset();
    }

    static void on_connect(h2o_socket_t* socket, char const* error)
    {
        auto const self = of(socket).shared_from_this();
        if (error != nullptr)
        {
            self->end(close_reason::failed);
            return;
        }
        self->start_reading();
        // Copied, because the callback may close the stream and reset `hooks`.
        if (auto const on_connected = self->hooks.on_connected)
            on_connected();
        self->flush();
    }

    static void on_read(h2o_socket_t* socket, char const* error)
    {
        auto const self = of(socket).shared_from_this();
        if (error != nullptr)
        {
            if (error == h2o_socket_error_closed)
                self->end_input();
            else
                self->end(close_reason::failed);
            return;
        }
        auto const limit = self->hooks.read_limit ? self->hooks.read_limit() : read_piece_bytes;
        if (limit == 0)
        {
            self->set_paused(true);
            return;
        }
        auto& buffer = read_buffer();
        auto const n = recv(
            h2o_socket_get_fd(socket), buffer.data(), std::min(limit, buffer.size()), MSG_DONTWAIT);
        if (n <= 0)
        {
            if (n == 0)
                self->end_input();
            else if (errno != EAGAIN && errno != EINTR)
                self->end(close_reason::failed);
            return;
        }
        process_totals().received += static_cast<std::uint64_t>(n);
        // Copied, because the callback may close the stream and reset `hooks`.
        if (auto const on_data = self->hooks.on_data)
            on_data(std::string_view(buffer.data(), static_cast<std::size_t>(n)));
    }

    static void on_written(h2o_socket_t* socket, char const* error)
    {
        auto const self = of(socket).shared_from_this();
        self->is_writing = false;
        if (error != nullptr)
        {
            self->end(close_reason::failed);
            return;
        }
        self->count_written();
        self->flush();
        if (!self->is_writing)
            self->update_polling();
        // Copied, because the callback may close the stream and reset `hooks`.
        if (auto const on_drained = self->hooks.on_drained; on_drained && !self->is_writing)
            on_drained();
    }
};

namespace {

/// Releases the socket's reference to the state.
void release_state(void* data)
{
    delete static_cast<std::shared_ptr<void>*>(data);
}

void attach_state(h2o_socket_t* socket, std::shared_ptr<void> state)
{
    ++process_open_count();
    socket->data = state.get();
    socket->on_close.data = new std::shared_ptr<void>(std::move(state));
    socket->on_close.cb = release_state;
}

} // namespace

byte_stream::byte_stream(std::shared_ptr<state> state)
    : state_(std::move(state))
{}

byte_stream::~byte_stream()
{
    state_->close();
}

std::unique_ptr<byte_stream>
byte_stream::connect(event_loop& loop, socket_address const& address, callbacks hooks)
{
    auto data = std::make_shared<state>(loop, std::move(hooks));
    auto peer = address;
    data->socket = h2o_socket_connect(loop.native(), peer.native(), peer.size(), state::on_connect);
    if (data->socket == nullptr)
    {
        loop.post([data] { data->end(close_reason::failed); });
        return std::unique_ptr<byte_stream>(new byte_stream(std::move(data)));
    }
    attach_state(data->socket, data);
    int const fd = h2o_socket_get_fd(data->socket);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    return std::unique_ptr<byte_stream>(new byte_stream(std::move(data)));
}

std::unique_ptr<byte_stream> byte_stream::adopt(event_loop& loop, int fd, callbacks hooks)
{
    auto data = std::make_shared<state>(loop, std::move(hooks));
    data->socket = h2o_evloop_socket_create(loop.native(), fd, 0);
    attach_state(data->socket, data);
    data->start_reading();
    return std::unique_ptr<byte_stream>(new byte_stream(std::move(data)));
}

byte_totals const& byte_stream::totals()
{
    return process_totals();
}

std::size_t byte_stream::open_count()
{
    return process_open_count();
}

void byte_stream::write(std::string_view data)
{
    if (!state_->shared.empty())
        state_->queue_shared();
    state_->queued += data;
    state_->flush();
}

void byte_stream::write_shared(std::string_view data, std::shared_ptr<void const> owner)
{
    if (!state_->shared.empty())
    {
        write(data);
        return;
    }
    state_->shared = data;
    state_->shared_owner = std::move(owner);
    state_->flush();
}

void byte_stream::reset_on_close()
{
    if (state_->socket == nullptr)
        return;
    linger const none{.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(state_->socket), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

void byte_stream::pause_reading()
{
    state_->set_paused(true);
}

void byte_stream::resume_reading()
{
    state_->set_paused(false);
}

std::size_t byte_stream::pending_bytes() const
{
    return state_->writing.size() - state_->written + state_->queued.size() + state_->shared.size();
}

std::size_t byte_stream::write_capacity() const
{
    return state_->writing.capacity() + state_->queued.capacity();
}

bool byte_stream::is_ended_by_peer() const
{
    if (state_->socket == nullptr)
        return true;
    tcp_info information{};
    socklen_t size = sizeof(information);
    int const fd = h2o_socket_get_fd(state_->socket);
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &information, &size) == 0 &&
           information.tcpi_state != TCP_ESTABLISHED;
}

void byte_stream::set_receive_window(int bytes)
{
    if (state_->socket == nullptr)
        return;
    int const fd = h2o_socket_get_fd(state_->socket);
    // The kernel counts its own structures in the buffer and doubles the value for them.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof(bytes));
}

} // namespace almondcart::http1
