#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/forwarding/token_transfer_client.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/http/json_rpc_server.hpp>

#include <absl/status/status.h>

#include <memory>
#include <string>

#include "gateway_metrics.hpp"

namespace almondcart {

class prepaid_accounts;

/// Client and server of the JSON-RPC method `transfer_tokens`, by which gateways transfer tokens of
/// prepaid accounts.
class token_transfer_rpc
{
public:
    /// All references must outlive this object.
    token_transfer_rpc(
        event_loop& loop,
        http_client& client,
        std::string own_vm,
        gateway_metrics& metrics,
        prepaid_accounts& accounts);

    /// Serves other gateways at `address`. Returns `invalid_settings` if the address cannot be
    /// used.
    absl::Status listen(std::string const& address);

    forwarding::token_transfer_client& exchange() { return exchange_; }

private:
    forwarding::token_transfer_client::hooks create_hooks();
    void
    ask(std::string const& address,
        forwarding::token_request const& request,
        std::function<void(std::optional<forwarding::token_transfer>)> done);
    absl::StatusOr<Json::Value> transfer_out(Json::Value const& params);

    event_loop& loop_;
    gateway_metrics& metrics_;
    prepaid_accounts& prepaid_;
    event_journal journal_;
    json_rpc_client rpc_;
    forwarding::token_transfer_client exchange_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<json_rpc_server> methods_;
};

} // namespace almondcart
