#include "service_standin.hpp"

#include "../common/standin_program.hpp"

namespace almondcart {

service_standin::service_standin(event_loop& loop, http_server& server, duration delay)
    : loop_(loop)
    , delay_(delay)
{
    server.route("GET", "/stats", [this](auto const& it) { respond_stats(*it); });
    server.route("*", "/", [this](auto const& it) { handle_call(it); });
}

void service_standin::handle_call(std::shared_ptr<http_exchange> const& exchange)
{
    // Counted before the delay, because the call takes effect even if the caller disconnects.
    std::string const key(exchange->header("idempotency-key"));
    Json::Value response;
    response["key"] = key;
    response["executions"] = ++executions_[key];
    response["path"] = exchange->path();
    response["body"] = exchange->body();
    loop_.after(delay_, [exchange, response] { respond_json(*exchange, 200, response); });
}

void service_standin::respond_stats(http_exchange& exchange) const
{
    Json::Value stats;
    stats["executions"] = Json::Value(Json::objectValue);
    for (auto const& [key, count] : executions_)
        stats["executions"][key] = count;
    respond_json(exchange, 200, stats);
}

} // namespace almondcart
