#include "json_rpc_dispatcher.hpp"

#include <utility>

namespace almondcart {

json_rpc_server::dispatcher::dispatcher()
    : handler_(
          jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
{
    SetHandler(handler_.get());
}

void json_rpc_server::dispatcher::bind(std::string const& method, method_function function)
{
    if (!methods_.contains(method))
        handler_->AddProcedure(
            jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    methods_[method] = std::move(function);
}

void json_rpc_server::dispatcher::dispatch(
    std::string const& body,
    std::shared_ptr<json_rpc_replies> replies)
{
    replies_ = std::move(replies);
    OnRequest(body);
    replies_ = nullptr;
}

bool json_rpc_server::dispatcher::SendResponse(std::string const& response, void* /*information*/)
{
    replies_->set_response(response);
    return true;
}

void json_rpc_server::dispatcher::HandleMethodCall(
    jsonrpc::Procedure& procedure,
    Json::Value const& input,
    Json::Value& output)
{
    auto const [placeholder, reply] = replies_->add();
    output = placeholder;
    auto const function = methods_.at(procedure.GetProcedureName());
    function(input, reply);
}

void json_rpc_server::dispatcher::HandleNotificationCall(
    jsonrpc::Procedure& /*procedure*/,
    Json::Value const& /*input*/)
{}

} // namespace almondcart
