#include "inbound_connection.hpp"

#include <algorithm>
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

/// Memory of a parsed head and of what is derived from it, for each byte of the head.
constexpr std::size_t head_cost_factor = 4;

/// Time for a whole body: a multiple of the header timeout, and the time that its bytes take at the
/// lowest speed. Both are far from what a client on a slow link needs.
constexpr int body_timeout_factor = 5;
constexpr std::int64_t slowest_bytes_per_ms = 4;

bool expects_continue(request_head const& head)
{
    auto const value = find_header(head.headers, "expect");
    return value && equals_ignoring_ascii_case(*value, "100-continue");
}

} // namespace

inbound_connection::inbound_connection(
    std::weak_ptr<inbound_server::state> server,
    event_loop& loop,
    std::string peer)
    : server_(std::move(server))
    , loop_(loop)
    , peer_(std::move(peer))
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
    hooks.read_limit = [this] { return read_limit(); };
    hooks.on_end = [this](close_reason /*reason*/) { close(); };
    hooks.on_drained = [this] { handle_drained(); };
    stream_ = byte_stream::adopt(loop_, fd, std::move(hooks));
    idle_since_ = loop_.now();
    auto const server = server_.lock();
    is_refused_ = server && server->is_crowded();
    arm_timer(is_refused_ ? limits().header_timeout : limits().idle_timeout);
}

void inbound_connection::close()
{
    auto const self = shared_from_this();
    timer_.cancel();
    stream_.reset();
    incoming_.reset();
    account_.resize(0);
    if (auto const server = server_.lock())
    {
        server->paused.erase(this);
        server->connections.erase(this);
    }
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
    if (is_refused_)
    {
        refuse_for(client_limit::connections);
        return;
    }
    note_progress(data.size());
    // Bytes of a body are decoded from where they were read to.
    if (phase_ == phase::body && input_.empty() && !read_body(data) && data.empty())
        return;
    if (stream_ == nullptr || is_closing_)
        return;
    input_ += data;
    update_account();
    if (phase_ != phase::response)
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
    auto const held = input_.capacity() > own_input_bytes ? input_.capacity() : 0;
    account_.resize(held + (stream_ == nullptr ? 0 : stream_->write_capacity()));
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
    {
        post_read();
        return;
    }
    if (auto const callback = exchange->drained_callback_)
        callback();
}

void inbound_connection::read_requests()
{
    if (is_reading_)
        return;
    auto const self = shared_from_this();
    is_reading_ = true;
    while (stream_ != nullptr && !is_closing_ && read_input())
    {}
    is_reading_ = false;
    if (stream_ == nullptr)
        return;
    if (input_.empty() && input_.capacity() > own_input_bytes)
        std::string().swap(input_);
    update_account();
}

bool inbound_connection::read_input()
{
    if (phase_ == phase::head)
    {
        // The next request is read once the client has taken the answer before it.
        return !input_.empty() && unwritten_bytes() == 0 && read_head();
    }
    if (phase_ == phase::response)
        return false;
    std::string_view data = input_;
    bool const is_complete = read_body(data);
    if (stream_ != nullptr && !is_closing_)
        input_.erase(0, input_.size() - data.size());
    return is_complete;
}

bool inbound_connection::read_head()
{
    auto const limit = limits();
    if (!incoming_)
    {
        incoming_ = std::make_shared<inbound_exchange>(weak_from_this());
        incoming_->is_finished_ = true; // not yet passed to the handler
        arm_timer(limit.header_timeout);
        progress_time_ = loop_.now();
        progress_bytes_ = 0;
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
    body_length_ = description->framing == body_framing::length ? description->length : 0;
    body_start_ = loop_.now();
    head_cost_ = consumed * head_cost_factor;
    window_cost_ = 0;
    incoming_->body_account_ = std::make_unique<buffer_account>(account_.budget());
    phase_ = phase::body;
    constexpr std::size_t largest_share_divisor = 3;
    if (body_length_ > account_.budget()->limit_bytes() / largest_share_divisor)
    {
        refuse_for(client_limit::memory); // will never fit
        return false;
    }
    if (description->framing == body_framing::none)
        incoming_->body_account_->resize(head_cost_);
    return true;
}

bool inbound_connection::read_body(std::string_view& data)
{
    if (!data.empty() && !reserve_body(data.size()))
    {
        pause(pause_reason::memory);
        return false;
    }
    // Shared by all connections, because it is used up at once.
    static std::string content;
    content.clear();
    auto const result = decoder_->feed(data, content);
    incoming_->body_.append(content);
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
    if (result == parse_result::incomplete)
    {
        if (is_body_too_slow())
            refuse_for(client_limit::body_time);
        else
            arm_timer(limits().header_timeout);
        return false;
    }
    decoder_.reset();
    dispatch();
    return true;
}

bool inbound_connection::is_body_too_slow() const
{
    duration const for_bytes(
        static_cast<std::int64_t>(incoming_->body_.size()) / slowest_bytes_per_ms);
    return loop_.now() - body_start_ > limits().header_timeout * body_timeout_factor + for_bytes;
}

void inbound_connection::dispatch()
{
    timer_.cancel();
    narrow_window();
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
    incoming_.reset();
    decoder_.reset();
    std::string().swap(input_);
    is_closing_ = true;
    pause_ = pause_reason::none;
    if (auto const server = server_.lock())
        server->paused.erase(this);
    write(response);
    resume(); // what still comes is dropped
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
    else if (is_in_request && is_waiting_for_memory())
        arm_timer(limits().header_timeout);
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
    idle_since_ = loop_.now();
    arm_timer(limits().idle_timeout);
    post_read();
}

void inbound_connection::post_read()
{
    if (pause_ == pause_reason::answer)
    {
        pause_ = pause_reason::none;
        if (auto const server = server_.lock())
            server->paused.erase(this);
        resume();
    }
    if (!input_.empty())
        loop_.post(
            [weak = weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->read_requests();
            });
}

} // namespace almondcart::http1
