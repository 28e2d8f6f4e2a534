#include "service_standin.hpp"

#include "../common/standin_program.hpp"

namespace almondcart {

service_standin::service_standin(event_loop& loop, http_server& server, duration delay)
    : loop_(loop)
    , delay_(delay)
{
    server.route("GET", "/stats", [this](auto const& it) { respond_stats(*it); });
    server.route("*", "/", [this](auto const& it) { execute(it); });
}

void service_standin::execute(std::shared_ptr<http_exchange> const& exchange)
{
    // Counted before the delay: the call has its effect even if the caller does not wait.
    std::string const key(exchange->header("idempotency-key"));
    Json::Value answer;
    answer["key"] = key;
    answer["executions"] = ++executions_[key];
    answer["path"] = exchange->path();
    answer["body"] = exchange->body();
    loop_.after(delay_, [exchange, answer] { respond_json(*exchange, 200, answer); });
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
