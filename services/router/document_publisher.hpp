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

/// Serves the RPC method `publish`: appends a document to the log and replies once the order of the
/// log has decided whether it is accepted.
class document_publisher
{
public:
    using reply_function = json_rpc_server::reply_function;

    document_publisher(
        process_id self,
        fleet_state const& state,
        event_loop& loop,
        std::function<std::int64_t(record_body)> submit);

    /// Params `{document, base_version, author}`; `base_version` defaults to the version in force
    /// at this router. Result `{service, version, offset}`. Errors: `document_invalid`,
    /// `publish_conflict`, `log_unavailable` if the log does not confirm in time; the publication
    /// may then still be accepted later.
    void publish(Json::Value const& params, reply_function const& reply);

private:
    struct pending_publication
    {
        std::int64_t sequence = 0;
        std::string service;
        instant deadline;
        reply_function reply;
    };

    void check(std::shared_ptr<pending_publication> const& publication);

    process_id self_;
    fleet_state const& state_;
    event_loop& loop_;
    std::function<std::int64_t(record_body)> submit_;
};

} // namespace almondcart
