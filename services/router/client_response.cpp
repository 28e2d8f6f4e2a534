#include "client_response.hpp"

#include <utility>

#include "problem.hpp"

namespace almondcart {

namespace {

constexpr int http_ok = 200;
/// Bytes of a stream that may wait for a client. One that reads more slowly is disconnected; it may
/// call again with its key.
constexpr std::size_t pending_limit_bytes = std::size_t{1024} * 1024;

constexpr std::string_view stream_end = "data: [DONE]\n\n";

} // namespace

client_response::client_response(
    std::shared_ptr<http_exchange> exchange,
    response_format format,
    std::string request_key)
    : exchange_(std::move(exchange))
    , format_(format)
    , request_key_(std::move(request_key))
{}

void client_response::add(data_frame const& frame)
{
    if (format_ == response_format::chat_stream)
        send_event(frame.data);
    else
        assembler_.add(frame.data);
}

void client_response::finish(final_frame const& frame)
{
    switch (format_)
    {
    case response_format::chat_stream:
        if (!frame.data.empty())
            send_event(frame.data);
        exchange_->send(stream_end);
        exchange_->finish();
        return;
    case response_format::chat_whole:
        assembler_.add(frame.data);
        exchange_->respond(http_ok, headers("application/json"), assembler_.finish(frame.usage));
        return;
    case response_format::plain:
        exchange_->respond(frame.status, headers(frame.content_type), frame.data);
        return;
    }
}

void client_response::finish_recorded(
    int status,
    std::string const& content_type,
    std::string const& body)
{
    exchange_->respond(status, headers(content_type), body);
}

void client_response::refuse(refusal const& refused)
{
    if (!is_started_)
    {
        send_problem(*exchange_, refused, request_key_);
        return;
    }
    exchange_->send("event: error\ndata: " + problem_body(refused, request_key_) + "\n\n");
    exchange_->finish();
}

void client_response::on_disconnect(std::function<void()> callback)
{
    exchange_->on_disconnect(std::move(callback));
}

http_headers client_response::headers(std::string_view content_type) const
{
    return {{"Content-Type", std::string(content_type)}, {"Idempotency-Key", request_key_}};
}

void client_response::send_event(std::string_view data)
{
    if (!is_started_)
        exchange_->start(http_ok, headers("text/event-stream"));
    is_started_ = true;
    exchange_->send("data: " + std::string(data) + "\n\n");
    if (exchange_->pending_bytes() > pending_limit_bytes)
        exchange_->abort();
}

void send_problem(http_exchange& exchange, refusal const& refused, std::string const& request_key)
{
    http_headers headers = {{"Content-Type", "application/problem+json"}};
    if (!request_key.empty())
        headers.emplace_back("Idempotency-Key", request_key);
    auto const retry_after = retry_after_seconds(refused);
    if (!retry_after.empty())
        headers.emplace_back("Retry-After", retry_after);
    exchange.respond(
        entry_of(refused.code).http_status, headers, problem_body(refused, request_key));
}

} // namespace almondcart
