#include "inbound_connection.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace almondcart::http1 {

namespace {

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int header_too_large = 431;
constexpr int service_unavailable = 503;

/// Delay before the connection is closed after its last response, because closing a socket with
/// unread bytes resets the connection and the client may lose the response.
constexpr duration linger_time{500};

bool expects_continue(request_head const& head)
{
    auto const value = find_header(head.headers, "expect");
    return value && equals_ignoring_ascii_case(*value, "100-continue");
}

} // namespace

inbound_connection::inbound_connection(
    std::weak_ptr<inbound_server::state> server,
    event_loop& loop)
    : server_(std::move(server))
    , loop_(loop)
    , account_(server_.lock()->buffers)
{}

inbound_connection::~inbound_connection()
{
    timer_.cancel();
}

void inbound_connection::open(int fd)
{
    byte_stream::callbacks hooks;
    hooks.on_data = [this](std::string_view data) { receive(data); };
    hooks.on_end = [this](close_reason /*reason*/) { close(); };
    hooks.on_drained = [this] { handle_drained(); };
    stream_ = byte_stream::adopt(loop_, fd, std::move(hooks));
    arm_timer(limits().idle_timeout);
}

void inbound_connection::close()
{
    auto const self = shared_from_this();
    timer_.cancel();
    stream_.reset();
    incoming_.reset();
    account_.resize(0);
    if (auto const server = server_.lock())
        server->connections.erase(this);
    if (auto const exchange = exchange_.lock())
    {
        exchange_.reset();
        if (auto const callback = std::exchange(exchange->disconnect_callback_, {}))
            callback();
    }
}

inbound_limits inbound_connection::limits() const
{
    auto const server = server_.lock();
    return server ? server->limits : inbound_limits{};
}

bool inbound_connection::is_draining() const
{
    auto const server = server_.lock();
    return !server || server->is_draining;
}

void inbound_connection::receive(std::string_view data)
{
    if (is_closing_)
        return;
    auto const self = shared_from_this();
    input_ += data;
    update_account();
    if (phase_ == phase::response)
    {
        // Limits the bytes that a client may pipeline while it waits for a response.
        auto const limit = limits();
        if (input_.size() > limit.header_bytes + limit.body_bytes ||
            !account_.allows(input_.size()))
            close();
        return;
    }
    read_requests();
}

void inbound_connection::write(std::string_view data)
{
    if (stream_ == nullptr)
        return;
    stream_->write(data);
    update_account();
}

std::size_t inbound_connection::unwritten_bytes() const
{
    return stream_ == nullptr ? 0 : stream_->pending_bytes();
}

void inbound_connection::update_account()
{
    account_.resize(input_.size() + unwritten_bytes());
}

void inbound_connection::handle_drained()
{
    update_account();
    if (is_closing_)
    {
        await_written();
        return;
    }
    auto const exchange = exchange_.lock();
    if (exchange == nullptr)
        return;
    if (auto const callback = exchange->drained_callback_)
        callback();
}

void inbound_connection::read_requests()
{
    if (is_reading_)
        return;
    auto const self = shared_from_this();
    is_reading_ = true;
    bool should_continue = true;
    while (should_continue && stream_ != nullptr && !is_closing_)
    {
        if (phase_ == phase::head)
            should_continue = !input_.empty() && read_head();
        else if (phase_ == phase::body)
            should_continue = read_body();
        else
            should_continue = false;
    }
    is_reading_ = false;
    if (stream_ != nullptr)
        update_account();
}

bool inbound_connection::read_head()
{
    auto const limit = limits();
    if (!incoming_)
    {
        incoming_ = std::make_shared<inbound_exchange>(weak_from_this());
        incoming_->is_finished_ = true; // not yet passed to the handler
        arm_timer(limit.header_timeout);
    }
    std::size_t consumed = 0;
    auto const result = parse_request_head(input_, incoming_->head_, consumed);
    bool const is_too_large = result == parse_result::incomplete
                                  ? input_.size() > limit.header_bytes
                                  : consumed > limit.header_bytes;
    if (is_too_large)
        reject(header_too_large);
    else if (result == parse_result::malformed)
        reject(bad_request);
    if (is_too_large || result != parse_result::complete)
        return false;
    input_.erase(0, consumed);
    auto const description = describe_request_body(incoming_->head_);
    if (!description)
    {
        reject(bad_request);
        return false;
    }
    if (description->length > limit.body_bytes)
    {
        reject(content_too_large);
        return false;
    }
    if (description->framing != body_framing::none && input_.empty() &&
        expects_continue(incoming_->head_))
        write("HTTP/1.1 100 Continue\r\n\r\n");
    decoder_.emplace(*description);
    incoming_->body_account_ = std::make_unique<buffer_account>(account_.budget());
    phase_ = phase::body;
    return true;
}

bool inbound_connection::read_body()
{
    std::string_view data = input_;
    auto const result = decoder_->feed(data, incoming_->body_);
    input_.erase(0, input_.size() - data.size());
    if (incoming_->body_.size() > limits().body_bytes)
    {
        reject(content_too_large);
        return false;
    }
    if (result == parse_result::malformed)
    {
        reject(bad_request);
        return false;
    }
    if (!incoming_->body_account_->allows(incoming_->body_.size()))
    {
        reject(service_unavailable);
        return false;
    }
    incoming_->body_account_->resize(incoming_->body_.size());
    if (result == parse_result::incomplete)
    {
        arm_timer(limits().header_timeout);
        return false;
    }
    decoder_.reset();
    dispatch();
    return true;
}

void inbound_connection::dispatch()
{
    timer_.cancel();
    phase_ = phase::response;
    auto exchange = std::exchange(incoming_, nullptr);
    exchange->is_finished_ = false;
    exchange->is_closing_ = exchange->head_.minor_version == 0 ||
                            has_connection_token(exchange->head_.headers, "close");
    exchange_ = exchange;
    if (auto const server = server_.lock())
        server->handle(std::move(exchange));
}

void inbound_connection::reject(int status)
{
    std::string response = "HTTP/1.1 " + std::to_string(status) + " ";
    response += reason_phrase(status);
    if (status == service_unavailable)
        response += "\r\nRetry-After: 1";
    response += "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    write(response);
    incoming_.reset();
    is_closing_ = true;
    await_written();
}

void inbound_connection::await_written()
{
    if (unwritten_bytes() > 0)
        arm_timer(limits().idle_timeout);
    else if (is_incomplete_)
        close();
    else
        arm_timer(linger_time);
}

void inbound_connection::arm_timer(duration delay)
{
    timer_.cancel();
    unwritten_at_timer_ = unwritten_bytes();
    timer_ = loop_.after(delay, [this] { expire(); });
}

void inbound_connection::expire()
{
    bool const is_in_request = incoming_ != nullptr;
    bool const is_being_read = unwritten_bytes() > 0 && unwritten_bytes() < unwritten_at_timer_;
    if (is_being_read)
        arm_timer(limits().idle_timeout);
    else if (is_in_request && !is_closing_)
        reject(request_timeout);
    else
        close();
}

void inbound_connection::reset()
{
    if (stream_ != nullptr)
        stream_->reset_on_close();
    close();
}

void inbound_connection::end_incomplete()
{
    exchange_.reset();
    phase_ = phase::head;
    is_closing_ = true;
    is_incomplete_ = true;
    if (stream_ != nullptr)
        await_written();
}

void inbound_connection::finish_response(bool is_closing)
{
    exchange_.reset();
    phase_ = phase::head;
    if (is_closing)
    {
        is_closing_ = true;
        await_written();
        return;
    }
    arm_timer(limits().idle_timeout);
    if (!input_.empty())
        loop_.post(
            [weak = weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->read_requests();
            });
}

inbound_exchange::inbound_exchange(std::weak_ptr<inbound_connection> connection)
    : connection_(std::move(connection))
{}

inbound_exchange::~inbound_exchange()
{
    abort();
}

void inbound_exchange::write_head(
    int status,
    http_headers const& headers,
    std::optional<std::size_t> length)
{
    auto const connection = connection_.lock();
    if (!connection || connection->stream_ == nullptr)
        return;
    if (connection->is_draining())
        is_closing_ = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_phrase(status);
    head += "\r\n";
    append_headers(head, headers);
    if (length)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (is_chunked_)
        head += "Transfer-Encoding: chunked\r\n";
    if (is_closing_)
        head += "Connection: close\r\n";
    head += "\r\n";
    connection->write(head);
    is_started_ = true;
}

void inbound_exchange::respond(int status, http_headers const& headers, std::string_view body)
{
    if (!is_open() || is_started_)
        return;
    write_head(status, headers, body.size());
    if (auto const connection = connection_.lock(); connection && head_.method != "HEAD")
        connection->write(body);
    complete();
}

void inbound_exchange::start(int status, http_headers const& headers)
{
    if (!is_open() || is_started_)
        return;
    is_chunked_ = head_.minor_version > 0;
    is_closing_ = is_closing_ || !is_chunked_;
    write_head(status, headers, std::nullopt);
}

void inbound_exchange::send(std::string_view data)
{
    auto const connection = connection_.lock();
    if (!is_open() || !is_started_ || data.empty() || connection->stream_ == nullptr)
        return;
    if (!is_chunked_)
    {
        connection->write(data);
        return;
    }
    constexpr int hexadecimal = 16;
    std::string chunk;
    chunk.reserve(data.size() + hexadecimal);
    std::array<char, hexadecimal> size{};
    auto const end =
        std::to_chars(size.data(), size.data() + size.size(), data.size(), hexadecimal);
    chunk.append(size.data(), end.ptr);
    chunk += "\r\n";
    chunk += data;
    chunk += "\r\n";
    connection->write(chunk);
}

void inbound_exchange::finish()
{
    auto const connection = connection_.lock();
    if (!is_open() || !is_started_)
        return;
    if (is_chunked_)
        connection->write("0\r\n\r\n");
    complete();
}

void inbound_exchange::complete()
{
    is_finished_ = true;
    disconnect_callback_ = {};
    drained_callback_ = {};
    if (auto const connection = connection_.lock())
        connection->finish_response(is_closing_);
}

void inbound_exchange::abort()
{
    if (is_finished_)
        return;
    is_finished_ = true;
    disconnect_callback_ = {};
    drained_callback_ = {};
    auto const connection = connection_.lock();
    if (!connection)
        return;
    // What was sent before reaches the client. Without chunks, only a reset tells that more was
    // due.
    if (!is_started_)
        connection->close();
    else if (is_chunked_)
        connection->end_incomplete();
    else
        connection->reset();
}

std::size_t inbound_exchange::pending_bytes() const
{
    auto const connection = connection_.lock();
    return connection && connection->stream_ != nullptr ? connection->stream_->pending_bytes() : 0;
}

} // namespace almondcart::http1
