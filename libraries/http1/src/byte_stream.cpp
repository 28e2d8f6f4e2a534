#include <almondcart/http1/byte_stream.hpp>

#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace almondcart::http1 {

namespace {

/// Receive buffer of a connection in the kernel. One read takes up to about twice as much into the
/// process, whatever the peer sends.
constexpr int receive_buffer_bytes = 128 * 1024;

/// Bytes passed to the socket at once, so that `pending_bytes` shows how a slow peer reads.
constexpr std::size_t write_piece_bytes = std::size_t{64} * 1024;

/// Accessed only from the event loop's thread.
byte_totals& process_totals()
{
    static byte_totals value;
    return value;
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
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
        if (!is_paused)
            h2o_socket_read_start(socket, on_read);
    }

    void set_paused(bool should_pause)
    {
        if (std::exchange(is_paused, should_pause) == should_pause || !is_connected ||
            socket == nullptr)
            return;
        if (should_pause)
            h2o_socket_read_stop(socket);
        else
            h2o_socket_read_start(socket, on_read);
    }

    void close()
    {
        if (socket == nullptr)
            return;
        hooks = {};
        h2o_socket_close(std::exchange(socket, nullptr));
    }

    void end(close_reason reason)
    {
        auto const on_end = std::move(hooks.on_end);
        close();
        if (on_end)
            on_end(reason);
    }

    void flush()
    {
        if (!is_connected || socket == nullptr || is_writing)
            return;
        if (written == writing.size())
        {
            written = 0;
            writing.clear();
            writing.swap(queued);
        }
        if (writing.empty())
            return;
        auto const n = std::min(write_piece_bytes, writing.size() - written);
        process_totals().sent += n;
        is_writing = true;
        auto buf = h2o_iovec_init(writing.data() + written, n);
        h2o_socket_write(socket, &buf, 1, on_written);
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
            self->end(
                error == h2o_socket_error_closed ? close_reason::closed_by_peer
                                                 : close_reason::failed);
            return;
        }
        process_totals().received += socket->input->size;
        std::string const data(socket->input->bytes, socket->input->size);
        h2o_buffer_consume(&socket->input, socket->input->size);
        // Copied, because the callback may close the stream and reset `hooks`.
        if (auto const on_data = self->hooks.on_data; on_data && !data.empty())
            on_data(data);
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
        self->written += std::min(write_piece_bytes, self->writing.size() - self->written);
        self->flush();
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
        loop.post([data]
                  { data->hooks.on_end ? data->hooks.on_end(close_reason::failed) : void(); });
        return std::unique_ptr<byte_stream>(new byte_stream(std::move(data)));
    }
    attach_state(data->socket, data);
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

void byte_stream::write(std::string_view data)
{
    state_->queued += data;
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
    return state_->writing.size() - state_->written + state_->queued.size();
}

} // namespace almondcart::http1
