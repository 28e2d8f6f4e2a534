#pragma once

#include <almondcart/http/json_rpc_server.hpp>

#include <jsonrpccpp/server.h>

#include <map>
#include <memory>
#include <string>

#include "json_rpc_replies.hpp"

namespace almondcart {

/// Connects a server to libjsonrpccpp, which parses request bodies and calls the bound methods.
class json_rpc_server::dispatcher : public jsonrpc::AbstractServerConnector,
                                    public jsonrpc::IProcedureInvokationHandler
{
public:
    dispatcher();

    void bind(std::string const& method, method_function function);

    /// Calls the methods named by `body`. Their replies, and the response with placeholders for
    /// them, go to `replies`.
    void dispatch(std::string const& body, std::shared_ptr<json_rpc_replies> replies);

    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(std::string const& response, void* information) override;
    void HandleMethodCall(
        jsonrpc::Procedure& procedure,
        Json::Value const& input,
        Json::Value& output) override;
    void HandleNotificationCall(jsonrpc::Procedure& procedure, Json::Value const& input) override;

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
    std::map<std::string, method_function> methods_;
    std::shared_ptr<json_rpc_replies> replies_; ///< of the request being dispatched
};

} // namespace almondcart
