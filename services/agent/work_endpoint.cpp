#include "work_endpoint.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/logical_time.hpp>

namespace almondcart {

namespace {

/// A router that reads too slowly to stay below this is disconnected. It may attach again and
/// continue from its last frame.
constexpr std::size_t pending_limit_bytes = 4'194'304;

absl::StatusOr<dispatch> parse_body(std::string const& body)
{
    auto const json = parse_json(body);
    if (!json.ok())
        return json.status();
    return parse_dispatch(*json);
}

void send_line(http_exchange& exchange, work_line const& line)
{
    if (!exchange.is_open())
        return;
    exchange.send(to_text(line));
    if (is_last(line))
        exchange.finish();
    else if (exchange.pending_bytes() > pending_limit_bytes)
        exchange.abort();
}

} // namespace

work_endpoint::work_endpoint(http_server& server, work_gate& gate, event_journal& journal)
    : gate_(gate)
    , journal_(journal)
{
    server.route(
        "POST",
        "/work",
        [this](std::shared_ptr<http_exchange> const& exchange) { serve(exchange); });
}

void work_endpoint::serve(std::shared_ptr<http_exchange> const& exchange)
{
    observe_logical_time(exchange->headers(), journal_);
    http_headers headers{{"Content-Type", "application/x-ndjson"}};
    add_logical_time(headers, journal_);
    exchange->start(200, headers);
    auto const work = parse_body(exchange->body());
    if (!work.ok())
    {
        send_line(
            *exchange,
            work_refusal{code_of(work.status()), std::string(work.status().message()), 0});
        return;
    }
    auto const reader =
        gate_.serve(*work, [exchange](work_line const& line) { send_line(*exchange, line); });
    if (reader == 0)
        return;
    // The gate holds the exchange through its reader. The callback must not capture it, because the
    // exchange would keep itself alive.
    exchange->on_disconnect([this, reader] { gate_.detach(reader); });
    if (!exchange->is_open())
        gate_.detach(reader);
}

} // namespace almondcart
