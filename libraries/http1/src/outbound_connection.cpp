#include <almondcart/core/text.hpp>
#include <almondcart/http/response_status.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <array>
#include <utility>

namespace almondcart::http1 {

namespace {

/// Maximum length of a response head, in bytes.
constexpr std::size_t response_head_limit = std::size_t{64} * 1024;

/// Response heads of one exchange: its own, and interim and rejected ones before it.
constexpr int received_head_limit = 8;

/// Maximum length of the bodies of rejected responses before the own one, in bytes.
constexpr std::size_t rejected_body_limit = std::size_t{1024} * 1024;

std::optional<int> parse_keep_alive(http_headers const& headers)
{
    auto const value = find_header(headers, "keep-alive");
    constexpr std::string_view prefix = "timeout=";
    if (!value)
        return std::nullopt;
    auto const start = value->find(prefix);
    if (start == std::string_view::npos)
        return std::nullopt;
    auto const text = value->substr(start + prefix.size());
    return parse_integer<int>(text.substr(0, text.find_first_not_of("0123456789")));
}

} // namespace

std::string_view name_of(exchange_outcome outcome)
{
    static constexpr std::array<std::string_view, 6> names{
        "complete", "withheld", "not_connected", "not_answered", "broken_off", "malformed"};
    return names.at(static_cast<std::size_t>(outcome));
}

namespace {

/// Request with an optional body that is not copied.
struct unsent_request
{
    std::string head; ///< the whole request if `body` is empty
    std::string_view body;
    std::shared_ptr<void const> owner; ///< of `body`
};

} // namespace

struct outbound_connection::state : std::enable_shared_from_this<outbound_connection::state>
{
    void open(event_loop& loop, socket_address const& address);
    void close();
    void begin();
    void send(std::string_view method, unsent_request request, exchange_callbacks callbacks);
    void write(unsent_request request);
    void receive(std::string_view data);
    bool read_head(std::string_view& data);
    bool begin_body(response_head const& head);
    bool read_body(std::string_view& data);
    void finish(exchange_outcome outcome);
    void end_idle();
    void on_stream_end(close_reason reason);

    /// Whether the exchange that had number `number` is still in progress. To be asked after each
    /// callback, which may have destroyed the connection or sent another request.
    bool is_current(int number) const { return is_active && exchange_count == number; }

    std::string request_method;
    std::shared_ptr<exchange_callbacks const> hooks; ///< of the current exchange
    std::function<void()> idle_end_callback;
    unsent_request unsent; ///< waits for the connection
    std::string incomplete_head;
    int exchange_count = 0;
    int received_heads = 0;         ///< of the current exchange, with interim and rejected ones
    std::size_t rejected_bytes = 0; ///< of the bodies of rejected responses in this exchange
    std::optional<body_decoder> decoder;
    std::optional<int> keep_alive_seconds;
    bool is_open = true;
    bool is_connected = false;
    bool is_active = false;
    bool is_reusable = true;
    bool is_head_accepted = false;
    std::unique_ptr<byte_stream> stream;
};

void outbound_connection::state::open(event_loop& loop, socket_address const& address)
{
    byte_stream::callbacks callbacks;
    callbacks.on_connected = [this] { begin(); };
    callbacks.on_data = [this](std::string_view data) { receive(data); };
    callbacks.on_end = [this](close_reason reason) { on_stream_end(reason); };
    stream = byte_stream::connect(loop, address, std::move(callbacks));
}

void outbound_connection::state::begin()
{
    is_connected = true;
    if (!is_active)
        return;
    auto const self = shared_from_this();
    auto const number = exchange_count;
    auto const callbacks = hooks;
    bool const may_send = !callbacks->may_send || callbacks->may_send();
    if (!is_current(number))
        return;
    if (may_send)
        write(std::exchange(unsent, {}));
    else
        finish(exchange_outcome::withheld);
}

void outbound_connection::state::close()
{
    is_open = false;
    is_active = false;
    hooks.reset();
    idle_end_callback = {};
    unsent = {};
    stream.reset();
}

void outbound_connection::state::send(
    std::string_view method,
    unsent_request request,
    exchange_callbacks callbacks)
{
    ++exchange_count;
    request_method = method;
    hooks = std::make_shared<exchange_callbacks const>(std::move(callbacks));
    is_active = true;
    is_head_accepted = false;
    decoder.reset();
    if (is_connected)
        write(std::move(request));
    else
        unsent = std::move(request);
}

void outbound_connection::state::write(unsent_request request)
{
    stream->write(request.head);
    if (!request.body.empty())
        stream->write_shared(request.body, std::move(request.owner));
}

void outbound_connection::state::receive(std::string_view data)
{
    auto const self = shared_from_this();
    if (!is_active)
    {
        // An unsolicited response; later responses could not be matched to their requests.
        stream.reset();
        end_idle();
        return;
    }
    std::string joined = std::exchange(incomplete_head, {});
    if (!joined.empty())
    {
        joined += data;
        data = joined;
    }
    auto const number = exchange_count;
    bool should_continue = true;
    while (should_continue && is_current(number))
        should_continue = decoder ? read_body(data) : read_head(data);
}

bool outbound_connection::state::read_head(std::string_view& data)
{
    response_head head;
    std::size_t consumed = 0;
    auto const result = parse_response_head(data, head, consumed);
    if (result == parse_result::incomplete && data.size() <= response_head_limit)
    {
        incomplete_head = data;
        return false;
    }
    if (result != parse_result::complete || ++received_heads > received_head_limit)
    {
        finish(exchange_outcome::malformed);
        return false;
    }
    data.remove_prefix(consumed);
    return is_interim_status(head.status) || begin_body(head);
}

bool outbound_connection::state::begin_body(response_head const& head)
{
    auto const description = describe_response_body(head, request_method);
    if (!description)
    {
        finish(exchange_outcome::malformed);
        return false;
    }
    if (head.minor_version == 0 || has_connection_token(head.headers, "close") ||
        description->framing == body_framing::until_close)
        is_reusable = false;
    keep_alive_seconds = parse_keep_alive(head.headers);
    decoder.emplace(*description);
    auto const number = exchange_count;
    auto const callbacks = hooks;
    bool const is_accepted = !callbacks->on_head || callbacks->on_head(head);
    if (!is_current(number))
        return false;
    is_head_accepted = is_accepted;
    // A response to another request shows that responses no longer match requests.
    if (!is_accepted)
        is_reusable = false;
    return true;
}

bool outbound_connection::state::read_body(std::string_view& data)
{
    std::string content;
    auto const result = decoder->feed(data, content);
    auto const number = exchange_count;
    auto const callbacks = hooks;
    if (is_head_accepted && !content.empty() && callbacks->on_body)
    {
        callbacks->on_body(content);
        if (!is_current(number))
            return false;
    }
    if (!is_head_accepted)
        rejected_bytes += content.size();
    if (result == parse_result::malformed || rejected_bytes > rejected_body_limit)
    {
        finish(exchange_outcome::malformed);
        return false;
    }
    if (result == parse_result::incomplete)
        return false;
    decoder.reset();
    if (!is_head_accepted)
        return true;
    // Bytes after the end of the response do not belong to any request. A request that is answered
    // before all of it was sent would be in the way of the next one, and keep its body.
    if (!data.empty() || stream->pending_bytes() > 0)
        is_reusable = false;
    finish(exchange_outcome::complete);
    return false;
}

void outbound_connection::state::finish(exchange_outcome outcome)
{
    if (!is_active)
        return;
    is_active = false;
    received_heads = 0;
    rejected_bytes = 0;
    decoder.reset();
    incomplete_head.clear();
    if (outcome == exchange_outcome::complete)
    {
        // An idle connection reads, so that its end is noticed.
        if (stream != nullptr)
            stream->resume_reading();
    }
    else
    {
        is_open = false;
        stream.reset();
    }
    auto const callbacks = std::exchange(hooks, nullptr);
    if (callbacks->on_end)
        callbacks->on_end(outcome);
}

void outbound_connection::state::end_idle()
{
    is_open = false;
    if (auto const callback = std::exchange(idle_end_callback, {}))
        callback();
}

void outbound_connection::state::on_stream_end(close_reason reason)
{
    auto const self = shared_from_this();
    is_open = false;
    if (!is_active)
        end_idle();
    else if (!is_connected)
        finish(exchange_outcome::not_connected);
    else if (!decoder || !is_head_accepted)
        finish(exchange_outcome::not_answered);
    else if (reason == close_reason::closed_by_peer && decoder->is_complete_at_close())
        finish(exchange_outcome::complete);
    else
        finish(exchange_outcome::broken_off);
}

outbound_connection::outbound_connection(event_loop& loop, socket_address const& address)
    : state_(std::make_shared<state>())
{
    state_->open(loop, address);
}

outbound_connection::~outbound_connection()
{
    state_->close();
}

void outbound_connection::send(
    std::string_view method,
    std::string_view request,
    exchange_callbacks callbacks)
{
    state_->send(method, {std::string(request), {}, nullptr}, std::move(callbacks));
}

void outbound_connection::send(
    std::string_view method,
    std::string_view head,
    std::string_view body,
    std::shared_ptr<void const> owner,
    exchange_callbacks callbacks)
{
    state_->send(method, {std::string(head), body, std::move(owner)}, std::move(callbacks));
}

void outbound_connection::pause_reading()
{
    if (state_->stream != nullptr)
        state_->stream->pause_reading();
}

void outbound_connection::resume_reading()
{
    if (state_->stream != nullptr)
        state_->stream->resume_reading();
}

void outbound_connection::on_idle_end(std::function<void()> callback)
{
    state_->idle_end_callback = std::move(callback);
}

bool outbound_connection::is_reusable() const
{
    return state_->is_open && state_->is_reusable && !state_->is_active;
}

bool outbound_connection::is_connected() const
{
    return state_->is_connected;
}

bool outbound_connection::is_reused() const
{
    return state_->exchange_count > 1;
}

std::optional<int> outbound_connection::keep_alive_seconds() const
{
    return state_->keep_alive_seconds;
}

} // namespace almondcart::http1
