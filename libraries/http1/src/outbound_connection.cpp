#include <almondcart/core/text.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <array>
#include <utility>

namespace almondcart::http1 {

namespace {

/// Maximum length of a response head, in bytes.
constexpr std::size_t response_head_limit = std::size_t{64} * 1024;

constexpr int first_final_status = 200;

/// Response heads of one exchange: its own, and interim and rejected ones before it.
constexpr int received_head_limit = 8;

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
    static constexpr std::array<std::string_view, 5> names{
        "complete", "not_connected", "not_answered", "broken_off", "malformed"};
    return names.at(static_cast<std::size_t>(outcome));
}

outbound_connection::outbound_connection(event_loop& loop, socket_address const& address)
{
    byte_stream::callbacks hooks;
    hooks.on_connected = [this] { is_connected_ = true; };
    hooks.on_data = [this](std::string_view data) { receive(data); };
    hooks.on_end = [this](close_reason reason) { on_stream_end(reason); };
    stream_ = byte_stream::connect(loop, address, std::move(hooks));
}

void outbound_connection::send(
    std::string_view method,
    std::string_view request,
    exchange_callbacks callbacks)
{
    ++exchange_count_;
    method_ = method;
    callbacks_ = std::move(callbacks);
    is_active_ = true;
    is_head_accepted_ = false;
    decoder_.reset();
    stream_->write(request);
}

void outbound_connection::receive(std::string_view data)
{
    if (!is_active_)
    {
        // An unsolicited response; later responses could not be matched to their requests.
        is_open_ = false;
        stream_.reset();
        if (auto const callback = std::exchange(idle_end_callback_, {}))
            callback();
        return;
    }
    auto const alive = alive_;
    while (!data.empty() && is_active_)
    {
        bool const should_continue = decoder_ ? receive_body(data) : receive_head(data);
        if (alive.use_count() == 1 || !should_continue)
            return;
    }
}

bool outbound_connection::receive_head(std::string_view& data)
{
    input_ += data;
    data = {};
    response_head head;
    std::size_t consumed = 0;
    auto const result = parse_response_head(input_, head, consumed);
    if (result == parse_result::incomplete && input_.size() <= response_head_limit)
        return false;
    if (result != parse_result::complete)
    {
        finish_exchange(exchange_outcome::malformed);
        return false;
    }
    std::string const rest = input_.substr(consumed);
    input_.clear();
    if (++received_heads_ > received_head_limit)
    {
        finish_exchange(exchange_outcome::malformed);
        return false;
    }
    if (head.status >= first_final_status && !begin_body(head))
        return false;
    if (rest.empty() && (!decoder_ || head.status < first_final_status))
        return false;
    auto const alive = alive_;
    std::string_view view = rest;
    // Also called without bytes, because the body may be empty.
    if (decoder_ && !receive_body(view))
        return false;
    if (alive.use_count() > 1 && !view.empty() && is_active_)
        receive(view);
    return false;
}

bool outbound_connection::begin_body(response_head const& head)
{
    auto const description = describe_response_body(head, method_);
    if (!description)
    {
        finish_exchange(exchange_outcome::malformed);
        return false;
    }
    if (head.minor_version == 0 || has_connection_token(head.headers, "close") ||
        description->framing == body_framing::until_close)
        is_reusable_ = false;
    keep_alive_seconds_ = parse_keep_alive(head.headers);
    decoder_.emplace(*description);
    auto const alive = alive_;
    auto const on_head = callbacks_.on_head;
    bool const is_accepted = !on_head || on_head(head);
    if (alive.use_count() == 1)
        return false;
    is_head_accepted_ = is_accepted;
    // A response to another request shows that responses no longer match requests.
    if (!is_accepted)
        is_reusable_ = false;
    std::string_view none;
    std::string content;
    if (description->framing == body_framing::none ||
        (description->framing == body_framing::length && description->length == 0))
    {
        decoder_->feed(none, content);
        if (is_head_accepted_)
        {
            finish_exchange(exchange_outcome::complete);
            return false;
        }
        decoder_.reset();
    }
    return true;
}

bool outbound_connection::receive_body(std::string_view& data)
{
    std::string content;
    auto const result = decoder_->feed(data, content);
    auto const alive = alive_;
    if (is_head_accepted_ && !content.empty())
    {
        auto const on_body = callbacks_.on_body;
        if (on_body)
            on_body(content);
        if (alive.use_count() == 1 || !is_active_)
            return false;
    }
    if (result == parse_result::malformed)
    {
        finish_exchange(exchange_outcome::malformed);
        return false;
    }
    if (result == parse_result::incomplete)
        return true;
    decoder_.reset();
    if (!is_head_accepted_)
        return true;
    // Bytes after the end of the response do not belong to any request.
    if (!data.empty())
        is_reusable_ = false;
    finish_exchange(exchange_outcome::complete);
    return false;
}

void outbound_connection::finish_exchange(exchange_outcome outcome)
{
    if (!is_active_)
        return;
    is_active_ = false;
    received_heads_ = 0;
    decoder_.reset();
    input_.clear();
    if (outcome != exchange_outcome::complete)
    {
        is_open_ = false;
        stream_.reset();
    }
    auto const callbacks = std::exchange(callbacks_, {});
    if (callbacks.on_end)
        callbacks.on_end(outcome);
}

void outbound_connection::on_stream_end(close_reason reason)
{
    is_open_ = false;
    if (!is_active_)
    {
        if (auto const callback = std::exchange(idle_end_callback_, {}))
            callback();
        return;
    }
    if (!is_connected_)
        finish_exchange(exchange_outcome::not_connected);
    else if (!decoder_ || !is_head_accepted_)
        finish_exchange(exchange_outcome::not_answered);
    else if (reason == close_reason::closed_by_peer && decoder_->is_complete_at_close())
        finish_exchange(exchange_outcome::complete);
    else
        finish_exchange(exchange_outcome::broken_off);
}

} // namespace almondcart::http1
