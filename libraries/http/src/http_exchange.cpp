#include <almondcart/http/http_exchange.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "exchange_link.hpp"
#include "inbound_connection.hpp"
#include "server_core.hpp"

namespace almondcart {

namespace {

constexpr std::size_t unknown_length = SIZE_MAX;

int hexadecimal_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string decode_percent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size() && hexadecimal_digit(text[i + 1]) >= 0 &&
            hexadecimal_digit(text[i + 2]) >= 0)
        {
            decoded += static_cast<char>(
                hexadecimal_digit(text[i + 1]) * 16 + hexadecimal_digit(text[i + 2]));
            i += 2;
        }
        else
        {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

http_exchange::~http_exchange()
{
    if (link_ == nullptr)
        return;
    auto& link = *std::exchange(link_, nullptr);
    link.in_flight = "no response\n";
    link.begin(500, {{"content-type", "text/plain"}}, link.in_flight.size());
    link.send(H2O_SEND_STATE_FINAL);
}

std::optional<std::string> http_exchange::query_value(std::string_view name) const
{
    std::string_view rest = query_;
    while (!rest.empty())
    {
        auto const pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        if (decode_percent(pair.substr(0, equals)) != name)
            continue;
        return equals == std::string_view::npos ? std::string()
                                                : decode_percent(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::string_view http_exchange::header(std::string_view name) const
{
    return find_header(headers_, name).value_or(std::string_view());
}

void http_exchange::respond(int status, http_headers const& headers, std::string body)
{
    if (!is_open() || is_started_)
        return;
    is_started_ = true;
    is_finished_ = true;
    auto& link = *link_;
    link.begin(status, headers, body.size());
    if (method_ != "HEAD")
        link.in_flight = std::move(body);
    link.send(H2O_SEND_STATE_FINAL);
}

void http_exchange::respond_text(int status, std::string_view content_type, std::string body)
{
    respond(status, {{"content-type", std::string(content_type)}}, std::move(body));
}

void http_exchange::start(int status, http_headers const& headers)
{
    if (!is_open() || is_started_)
        return;
    is_started_ = true;
    link_->begin(status, headers, unknown_length);
}

void http_exchange::send(std::string_view data)
{
    if (!is_open() || !is_started_ || method_ == "HEAD")
        return;
    queue_ += data;
    flush();
    if (link_ != nullptr)
        link_->connection->update_and_enforce();
}

void http_exchange::finish()
{
    if (!is_open() || !is_started_)
        return;
    is_finished_ = true;
    flush();
}

void http_exchange::flush()
{
    if (link_ == nullptr || link_->is_sending || (queue_.empty() && !is_finished_))
        return;
    link_->in_flight = std::exchange(queue_, {});
    link_->send(is_finished_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void http_exchange::proceed()
{
    if (is_disconnected_)
    {
        link_->in_flight.clear();
        link_->send(H2O_SEND_STATE_ERROR);
        return;
    }
    flush();
    if (pending_bytes() == 0 && drained_callback_ != nullptr)
    {
        auto const callback = drained_callback_;
        callback();
    }
}

void http_exchange::abort()
{
    if (link_ != nullptr)
        link_->close();
}

void http_exchange::on_disconnect(std::function<void()> callback)
{
    disconnect_callback_ = std::move(callback);
}

void http_exchange::on_drained(std::function<void()> callback)
{
    drained_callback_ = std::move(callback);
}

std::size_t http_exchange::pending_bytes() const
{
    if (link_ == nullptr)
        return 0;
    return queue_.size() + (link_->is_sending ? link_->in_flight.size() : 0);
}

void http_exchange::set_disconnected()
{
    if (link_ == nullptr || is_disconnected_)
        return;
    bool const was_finished = is_finished_;
    is_disconnected_ = true;
    queue_.clear();
    link_->close();
    auto const callback = std::exchange(disconnect_callback_, nullptr);
    drained_callback_ = nullptr;
    if (!is_started_)
    {
        // h2o releases the request only after a response has ended.
        is_started_ = true;
        is_finished_ = true;
        link_->begin(500, {}, 0);
        link_->send(H2O_SEND_STATE_FINAL);
    }
    else if (!link_->is_sending)
    {
        link_->in_flight.clear();
        link_->send(H2O_SEND_STATE_ERROR);
    }
    if (!was_finished && callback != nullptr)
        callback();
}

void http_exchange::detach()
{
    auto const& core = *std::exchange(link_, nullptr)->core;
    bool const is_lost = !is_finished_ && !is_disconnected_;
    if (is_lost)
        is_disconnected_ = true;
    drained_callback_ = nullptr;
    auto callback = std::exchange(disconnect_callback_, nullptr);
    // Posted, because h2o is releasing the connection at this point.
    if (is_lost && callback != nullptr)
        core.loop().post(std::move(callback));
}

} // namespace almondcart
