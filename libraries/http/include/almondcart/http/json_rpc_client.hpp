#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/http_client.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstddef>
#include <functional>
#include <string>

namespace almondcart {

/// JSON-RPC 2.0 client over `POST /rpc`.
class json_rpc_client
{
public:
    using result_callback = std::function<void(absl::StatusOr<Json::Value>)>;

    /// The client and the journal must outlive this object and its calls. A response may have
    /// `response_limit_bytes`.
    json_rpc_client(
        event_loop& loop,
        http_client& client,
        event_journal& journal,
        std::size_t response_limit_bytes = std::size_t{64} * 1024 * 1024);

    /// Calls `method` of the process at `address`. `callback` receives its result, the status the
    /// method failed with, or an error of `http_client`: `upstream_lost` if there is no complete
    /// response within `timeout`. A response that is not valid JSON-RPC results in
    /// `upstream_failed`.
    http_call call(
        std::string const& address,
        std::string const& method,
        Json::Value const& params,
        duration timeout,
        result_callback callback);

private:
    event_loop& loop_;
    http_client& client_;
    event_journal& journal_;
    std::size_t response_limit_bytes_;
};

} // namespace almondcart
