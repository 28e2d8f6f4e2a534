#pragma once

#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/json_rpc_server.hpp>

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fleet_state.hpp"

namespace almondcart {

/// Serves the RPC method `publish`: appends a document and replies when the log's order has
/// decided.
class document_publisher
{
public:
    using reply_function = json_rpc_server::reply_function;

    document_publisher(
        process_id self,
        fleet_state const& state,
        event_loop& loop,
        std::function<std::int64_t(record_body)> submit);

    /// Params `{document, base_version, author}`; without `base_version` the version in force here
    /// is the base. Result `{service, version, offset}`. Errors: `document_invalid`,
    /// `publish_conflict`, `log_unavailable` if the log does not confirm in time; the publication
    /// may then still be accepted later.
    void publish(Json::Value const& params, reply_function const& reply);

private:
    struct pending
    {
        std::int64_t sequence = 0;
        std::string service;
        instant give_up_at;
        reply_function reply;
    };

    void check(std::shared_ptr<pending> const& it);

    process_id self_;
    fleet_state const& state_;
    event_loop& loop_;
    std::function<std::int64_t(record_body)> submit_;
};

} // namespace almondcart
