#include <almondcart/http/json_rpc_server.hpp>
#include <almondcart/http/logical_time.hpp>

#include <utility>

#include "json_rpc_dispatcher.hpp"
#include "json_rpc_replies.hpp"

namespace almondcart {

json_rpc_server::json_rpc_server(http_server& server, event_journal& journal)
    : journal_(journal)
    , dispatcher_(std::make_unique<dispatcher>())
{
    server.route(
        "POST",
        "/rpc",
        [this](std::shared_ptr<http_exchange> const& exchange) { handle(exchange); });
}

json_rpc_server::~json_rpc_server() = default;

void json_rpc_server::bind(std::string const& method, method_function function)
{
    dispatcher_->bind(method, std::move(function));
}

void json_rpc_server::bind_immediate(std::string const& method, immediate_method_function function)
{
    bind(
        method,
        [function = std::move(function)](Json::Value const& params, reply_function const& reply)
        { reply(function(params)); });
}

void json_rpc_server::handle(std::shared_ptr<http_exchange> const& exchange)
{
    observe_logical_time(exchange->headers(), journal_);
    auto const replies = std::make_shared<json_rpc_replies>(
        [exchange, &journal = journal_](std::string response)
        {
            http_headers headers{{"content-type", "application/json"}};
            add_logical_time(headers, journal);
            exchange->respond(200, headers, std::move(response));
        });
    dispatcher_->dispatch(exchange->body(), replies);
}

} // namespace almondcart
