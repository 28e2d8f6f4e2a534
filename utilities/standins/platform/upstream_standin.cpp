#include "upstream_standin.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/text.hpp>

#include <stdexcept>
#include <utility>

namespace almondcart::standins {

namespace {

constexpr duration unsigned_stream_time{20};

/// Bytes of an endless response that are sent at once.
constexpr std::size_t endless_part_bytes = std::size_t{64} * 1024;

std::string header_value(http1::inbound_exchange const& exchange, std::string_view name)
{
    return std::string(find_header(exchange.head().headers, name).value_or(""));
}

std::string format_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

} // namespace

upstream_standin::upstream_standin(event_loop& loop, std::string id)
    : loop_(loop)
    , id_(std::move(id))
{
    auto server = http1::inbound_server::create(
        loop,
        "127.0.0.1:0",
        [this](std::shared_ptr<http1::inbound_exchange> exchange) { handle(std::move(exchange)); });
    if (!server.ok())
        throw std::runtime_error("upstream stand-in: cannot listen on 127.0.0.1");
    server_ = *std::move(server);
}

std::string upstream_standin::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

std::string upstream_standin::registry_entry(
    std::string const& service,
    std::string const& state,
    std::string const& advertised_address) const
{
    Json::Value entry(Json::objectValue);
    entry["backend"] = service;
    entry["address"] = advertised_address.empty() ? address() : advertised_address;
    entry["zone"] = zone_;
    entry["slots"] = 8;
    entry["state"] = state;
    entry["born"] = start_count_;
    return to_compact_json(entry);
}

http_headers upstream_standin::response_headers(http1::inbound_exchange const& exchange) const
{
    http_headers headers{
        {"X-Almondcart-Request-Id", header_value(exchange, "X-Almondcart-Request-Id")},
        {"X-Almondcart-Response-Seal", "seal-" + id_}};
    if (is_leaving_)
        headers.emplace_back("Server-Leaving", "1");
    return headers;
}

void upstream_standin::handle(std::shared_ptr<http1::inbound_exchange> exchange)
{
    request_heads_.push_back(exchange->head());
    auto const request_id = header_value(*exchange, "X-Almondcart-Request-Id");
    if (arrival_callback_)
        arrival_callback_(request_id);
    if (mode_ == upstream_mode::not_executed)
    {
        http_headers headers{
            {"X-Almondcart-Request-Id", request_id}, {"X-Almondcart-Not-Executed", "1"}};
        if (!retry_after_.empty())
            headers.emplace_back("Retry-After", retry_after_);
        exchange->respond(503, headers, "");
        return;
    }
    ++execution_counts_[request_id];
    if (execution_callback_)
        execution_callback_(request_id);
    if (crash_condition_ && crash_condition_(exchange->head()))
    {
        crash(*exchange);
        return;
    }
    exchange->on_disconnect([this] { ++disconnect_count_; });
    auto const after = parse_integer<int>(header_value(*exchange, "Last-Event-Id")).value_or(0);
    auto const& target = exchange->head().target;
    bool const is_stream = target.starts_with("/stream/") || target.starts_with("/resume/");
    auto mode = mode_;
    if (mode_ == upstream_mode::by_path)
        mode = is_stream ? upstream_mode::stream : upstream_mode::single_body;
    else if (mode_ == upstream_mode::endless_stream && !is_stream)
        mode = upstream_mode::single_body;
    switch (mode)
    {
    case upstream_mode::by_path:
    case upstream_mode::single_body:
        exchange->respond(200, response_headers(*exchange), "answer of " + id_);
        break;
    case upstream_mode::stream:
        exchange->start(200, response_headers(*exchange));
        if (!are_streams_paused_)
        {
            send_events(exchange, after + 1, event_count);
            exchange->finish();
            break;
        }
        send_events(exchange, after + 1, after + 1);
        paused_.push_back(
            [this, exchange, after]
            {
                send_events(exchange, after + 2, event_count);
                exchange->finish();
            });
        break;
    case upstream_mode::truncated_stream:
        exchange->start(200, response_headers(*exchange));
        send_events(exchange, after + 1, event_count / 2);
        exchange->send("id: 4\nda");
        paused_.push_back([exchange] { exchange->abort(); });
        break;
    case upstream_mode::unsigned_stream:
        exchange->start(200, {response_headers(*exchange).front()});
        send_events(exchange, after + 1, after == 0 ? event_count / 2 : event_count);
        // Later, so that the events are written before the connection closes.
        loop_.after(unsigned_stream_time, [exchange] { exchange->abort(); });
        break;
    case upstream_mode::unresponsive:
        unanswered_.push_back(std::move(exchange));
        break;
    case upstream_mode::server_error:
        exchange->respond(500, response_headers(*exchange), "failed");
        break;
    case upstream_mode::mismatched_request_id:
    {
        auto headers = response_headers(*exchange);
        headers[0].second = "another";
        exchange->respond(200, headers, "answer to another request");
        break;
    }
    case upstream_mode::endless_body:
        exchange->start(200, response_headers(*exchange));
        send_endlessly(exchange, [] { return std::string(endless_part_bytes, 'x'); });
        break;
    case upstream_mode::endless_stream:
        start_endless_stream(exchange);
        break;
    case upstream_mode::dropped_connection:
    case upstream_mode::not_executed:
        exchange->abort();
        break;
    }
}

void upstream_standin::crash(http1::inbound_exchange& exchange)
{
    ++crash_count_;
    restart();
    exchange.abort();
    crash_callback_();
}

void upstream_standin::send_endlessly(
    std::shared_ptr<http1::inbound_exchange> const& exchange,
    std::function<std::string()> const& next_part)
{
    constexpr std::size_t queue_limit_bytes = std::size_t{1024} * 1024;
    constexpr duration interval{1};
    if (!exchange->is_open())
        return;
    if (exchange->pending_bytes() < queue_limit_bytes)
        exchange->send(next_part());
    loop_.after(interval, [this, exchange, next_part] { send_endlessly(exchange, next_part); });
}

void upstream_standin::start_endless_stream(
    std::shared_ptr<http1::inbound_exchange> const& exchange)
{
    exchange->start(200, response_headers(*exchange));
    send_endlessly(
        exchange,
        [id = 0]() mutable
        {
            std::string part;
            while (part.size() < endless_part_bytes)
                part += format_event(++id);
            return part;
        });
}

void upstream_standin::send_events(
    std::shared_ptr<http1::inbound_exchange> const& exchange,
    int first,
    int last)
{
    for (int id = first; id <= last; ++id)
        exchange->send(format_event(id));
}

void upstream_standin::release()
{
    for (auto const& release_stream : std::exchange(paused_, {}))
        release_stream();
    unanswered_.clear();
}

} // namespace almondcart::standins
