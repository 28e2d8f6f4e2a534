#include <array>
#include <charconv>
#include <utility>

#include "inbound_connection.hpp"

namespace almondcart::http1 {

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
