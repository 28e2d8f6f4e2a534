#pragma once

#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/json_rpc_server.hpp>
#include <almondcart/routing/run_placements.hpp>

#include <cstdint>
#include <functional>
#include <string>

#include "order_forwarder.hpp"

namespace almondcart {

/// Binds the agent's RPC methods to its gate.
class rpc_methods
{
public:
    struct hooks
    {
        std::function<std::int64_t()> config_offset;
        std::function<bool(std::string const& fingerprint)> is_blocked;
        std::function<void()> drain; ///< starts a graceful stop
    };

    /// The references must outlive the server.
    rpc_methods(
        json_rpc_server& server,
        work_gate& gate,
        order_forwarder& orders,
        run_placements& placements,
        hooks hooks);

private:
    absl::StatusOr<Json::Value> acknowledge(Json::Value const& params);
    absl::StatusOr<Json::Value> close_grant(Json::Value const& params);
    absl::StatusOr<Json::Value> fence_request(Json::Value const& params);
    absl::StatusOr<Json::Value> find_request(Json::Value const& params);
    absl::StatusOr<Json::Value> cancel(Json::Value const& params);
    absl::StatusOr<Json::Value> place(Json::Value const& params);
    absl::StatusOr<Json::Value> clear_fingerprint(Json::Value const& params);
    Json::Value create_result() const;

    work_gate& gate_;
    run_placements& placements_;
    hooks hooks_;
};

} // namespace almondcart
