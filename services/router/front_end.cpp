#include "front_end.hpp"

#include <utility>

#include "idempotent_session.hpp"
#include "non_idempotent_session.hpp"
#include "problem.hpp"

namespace almondcart {

namespace {

constexpr duration not_ready_retry_after{1'000};

client_message read_message(http_exchange const& exchange)
{
    client_message message;
    message.method = exchange.method();
    message.path = exchange.path();
    message.query = exchange.query();
    message.content_type = exchange.header("Content-Type");
    message.authorization = exchange.header("Authorization");
    message.request_key = exchange.header("Idempotency-Key");
    message.kind = exchange.header("Almondcart-Kind");
    message.budget = exchange.header("Almondcart-Budget");
    message.body = exchange.body();
    return message;
}

response_format format_of(client_request const& request)
{
    if (!request.chat)
        return response_format::plain;
    return request.chat->is_stream ? response_format::chat_stream : response_format::chat_whole;
}

} // namespace

front_end::front_end(router_context& context, http_server& server, std::function<bool()> is_ready)
    : context_(context)
    , is_ready_(std::move(is_ready))
{
    auto const handle = [this](std::shared_ptr<http_exchange> const& exchange) { serve(exchange); };
    server.route("POST", "/v1/chat/completions", handle);
    server.route("*", "/v1/services", handle);
}

void front_end::serve(std::shared_ptr<http_exchange> const& exchange)
{
    if (is_shutting_down_ || !is_ready_())
    {
        auto const code = is_shutting_down_ ? result_code::shutting_down : result_code::not_ready;
        send_problem(
            *exchange,
            make_refusal(
                code,
                is_shutting_down_ ? "this router is stopping"
                                  : "this router has not caught up with the log",
                not_ready_retry_after),
            std::string(exchange->header("Idempotency-Key")));
        return;
    }
    auto request = client_request::create(read_message(*exchange), context_.state.configuration());
    if (!request.ok())
    {
        send_problem(
            *exchange,
            make_refusal(code_of(request.status()), message_of(request.status())),
            std::string(exchange->header("Idempotency-Key")));
        return;
    }
    std::shared_ptr<request_session> const session = create_session(*std::move(request), exchange);
    sessions_.insert(session);
    session->start([this, weak = std::weak_ptr(session)] { sessions_.erase(weak.lock()); });
}

std::unique_ptr<request_session>
front_end::create_session(client_request request, std::shared_ptr<http_exchange> exchange)
{
    auto response =
        std::make_unique<client_response>(std::move(exchange), format_of(request), request.id.key);
    if (request.kind.is_idempotent)
        return std::make_unique<idempotent_session>(
            context_, std::move(request), std::move(response));
    return std::make_unique<non_idempotent_session>(
        context_, std::move(request), std::move(response));
}

} // namespace almondcart
