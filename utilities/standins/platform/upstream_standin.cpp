#include "upstream_standin.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/text.hpp>

#include <stdexcept>
#include <utility>

namespace almondcart::standins {

namespace {

std::string header_of(http1::inbound_exchange const& exchange, std::string_view name)
{
    return std::string(find_header(exchange.head().headers, name).value_or(""));
}

std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

} // namespace

upstream_standin::upstream_standin(event_loop& loop, std::string id)
    : id_(std::move(id))
{
    auto server = http1::inbound_server::create(
        loop,
        "127.0.0.1:0",
        [this](std::shared_ptr<http1::inbound_exchange> it) { handle(std::move(it)); });
    if (!server.ok())
        throw std::runtime_error("upstream stand-in: no free port");
    server_ = *std::move(server);
}

std::string upstream_standin::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

std::string upstream_standin::registry_entry(
    std::string const& service,
    std::string const& state,
    std::string const& reached_at) const
{
    Json::Value entry(Json::objectValue);
    entry["backend"] = service;
    entry["address"] = reached_at.empty() ? address() : reached_at;
    entry["zone"] = "zone-1";
    entry["slots"] = 8;
    entry["state"] = state;
    entry["born"] = 1;
    return to_compact_json(entry);
}

http_headers upstream_standin::headers_for(http1::inbound_exchange const& exchange) const
{
    return {
        {"X-Almondcart-Request-Id", header_of(exchange, "X-Almondcart-Request-Id")},
        {"X-Almondcart-Response-Seal", "seal-" + id_}};
}

void upstream_standin::handle(std::shared_ptr<http1::inbound_exchange> exchange)
{
    heads_.push_back(exchange->head());
    auto const request_id = header_of(*exchange, "X-Almondcart-Request-Id");
    if (mode_ == upstream_mode::not_executed)
    {
        exchange->respond(503, {{"X-Almondcart-Not-Executed", "1"}}, "");
        return;
    }
    ++runs_[request_id];
    if (run_callback_)
        run_callback_(request_id);
    exchange->on_disconnect([this] { ++left_count_; });
    auto const after = parse_integer<int>(header_of(*exchange, "Last-Event-Id")).value_or(0);
    auto const& target = exchange->head().target;
    bool const is_stream = target.starts_with("/stream/") || target.starts_with("/resume/");
    auto const mode = mode_ != upstream_mode::by_path ? mode_
                      : is_stream                     ? upstream_mode::stream
                                                      : upstream_mode::single_body;
    switch (mode)
    {
    case upstream_mode::by_path:
    case upstream_mode::single_body:
        exchange->respond(200, headers_for(*exchange), "answer of " + id_);
        break;
    case upstream_mode::stream:
        exchange->start(200, headers_for(*exchange));
        if (!is_holding_)
        {
            send_events(exchange, after + 1, event_count);
            exchange->finish();
            break;
        }
        send_events(exchange, after + 1, after + 1);
        held_.push_back(
            [this, exchange, after]
            {
                send_events(exchange, after + 2, event_count);
                exchange->finish();
            });
        break;
    case upstream_mode::truncated_stream:
        exchange->start(200, headers_for(*exchange));
        send_events(exchange, after + 1, event_count / 2);
        exchange->send("id: 4\nda");
        held_.push_back([exchange] { exchange->abort(); });
        break;
    case upstream_mode::unresponsive:
        silent_.push_back(std::move(exchange));
        break;
    case upstream_mode::server_error:
        exchange->respond(500, headers_for(*exchange), "failed");
        break;
    case upstream_mode::mismatched_request_id:
    {
        auto headers = headers_for(*exchange);
        headers[0].second = "another";
        exchange->respond(200, headers, "answer to another request");
        break;
    }
    case upstream_mode::dropped_connection:
    case upstream_mode::not_executed:
        exchange->abort();
        break;
    }
}

void upstream_standin::send_events(
    std::shared_ptr<http1::inbound_exchange> const& exchange,
    int first,
    int last)
{
    for (int id = first; id <= last; ++id)
        exchange->send(event_text(id));
}

void upstream_standin::release()
{
    for (auto const& it : std::exchange(held_, {}))
        it();
    silent_.clear();
}

} // namespace almondcart::standins
