#include "status_pages.hpp"

#include <almondcart/core/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace almondcart {

namespace {

constexpr std::string_view json_type = "application/json";

std::uint64_t read_after(http_exchange const& exchange)
{
    std::uint64_t after = 0;
    auto const text = exchange.query_value("after").value_or("0");
    std::from_chars(text.data(), text.data() + text.size(), after);
    return after;
}

} // namespace

void status_pages::serve(http_server& server, event_journal const& journal, hooks hooks)
{
    server.route(
        "GET",
        "/healthz",
        [](std::shared_ptr<http_exchange> const& it)
        { it->respond_text(200, "text/plain", "ok"); });
    server.route(
        "GET",
        "/readyz",
        [is_ready = std::move(hooks.is_ready)](std::shared_ptr<http_exchange> const& it)
        {
            if (is_ready())
                it->respond_text(200, "text/plain", "ready");
            else
                it->respond_text(503, "text/plain", "not ready");
        });
    server.route(
        "GET",
        "/status",
        [create = std::move(hooks.create_status)](std::shared_ptr<http_exchange> const& it)
        { it->respond_text(200, json_type, to_compact_json(create())); });
    server.route(
        "GET",
        "/timeline",
        [&journal](std::shared_ptr<http_exchange> const& it)
        { it->respond_text(200, json_type, to_compact_json(journal.to_json(read_after(*it)))); });
}

} // namespace almondcart
