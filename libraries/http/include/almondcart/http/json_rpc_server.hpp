#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/http_server.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace almondcart {

/// JSON-RPC 2.0 server on `POST /rpc` of an `http_server`. libjsonrpccpp parses and dispatches the
/// requests; a method may reply later, from the event loop.
///
/// A method that fails results in a JSON-RPC error with the message of its status and its numbered
/// result code in `data.code`.
class json_rpc_server
{
public:
    using reply_function = std::function<void(absl::StatusOr<Json::Value>)>;
    using method_function = std::function<void(Json::Value const& params, reply_function reply)>;
    using immediate_method_function =
        std::function<absl::StatusOr<Json::Value>(Json::Value const& params)>;

    /// The journal must outlive the HTTP server; this object must outlive its last request.
    json_rpc_server(http_server& server, event_journal& journal);
    ~json_rpc_server();
    json_rpc_server(json_rpc_server const&) = delete;
    json_rpc_server& operator=(json_rpc_server const&) = delete;

    /// Binds a method that calls `reply` once, immediately or later. Further calls of `reply` have
    /// no effect; a method that releases `reply` without calling it fails with `internal_error`.
    void bind(std::string const& method, method_function function);

    /// Binds a method that returns its result.
    void bind_immediate(std::string const& method, immediate_method_function function);

private:
    class dispatcher;

    void handle(std::shared_ptr<http_exchange> const& exchange);

    event_journal& journal_;
    std::unique_ptr<dispatcher> dispatcher_;
};

} // namespace almondcart
