#pragma once

#include <almondcart/http/json_rpc_server.hpp>

#include <json/json.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace almondcart {

/// Collects the replies to the calls of one request body. libjsonrpccpp needs each result
/// immediately, so it is given a placeholder; when all methods have replied, the placeholders in
/// its response are replaced.
class json_rpc_replies : public std::enable_shared_from_this<json_rpc_replies>
{
public:
    explicit json_rpc_replies(std::function<void(std::string)> send);

    /// Adds a call. Returns the placeholder for its result and the function that takes its reply.
    std::pair<Json::Value, json_rpc_server::reply_function> add();

    /// Sets the response created by libjsonrpccpp, which contains the placeholders.
    void set_response(std::string const& response);

private:
    void set_reply(std::size_t index, absl::StatusOr<Json::Value> reply);
    void send_if_complete();
    void replace_placeholder(Json::Value& response) const;

    std::function<void(std::string)> send_;
    std::vector<absl::StatusOr<Json::Value>> replies_;
    std::size_t pending_count_ = 0;
    Json::Value response_;
    bool has_response_ = false;
};

} // namespace almondcart
