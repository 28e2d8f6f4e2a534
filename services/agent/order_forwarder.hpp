#pragma once

#include <almondcart/gate/order_fence.hpp>
#include <almondcart/http/http_client.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <functional>

#include "agent_settings.hpp"

namespace almondcart {

/// Checks orders from routers and forwards accepted ones to the upstream with their fencing number.
class order_forwarder
{
public:
    /// The references must outlive this object and its calls.
    order_forwarder(agent_settings const& settings, http_client& client, order_fence& fence);

    /// Handles a call of the RPC method `order`.
    void handle(Json::Value const& params, std::function<void(absl::StatusOr<Json::Value>)> reply);

private:
    agent_settings const& settings_;
    http_client& client_;
    order_fence& fence_;
};

} // namespace almondcart
