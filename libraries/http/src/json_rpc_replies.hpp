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

/// Replies to the calls of one request body. libjsonrpccpp asks for each result at once, so it is
/// given a marker; when all methods have replied, the markers in its response are replaced.
class json_rpc_replies : public std::enable_shared_from_this<json_rpc_replies>
{
public:
    explicit json_rpc_replies(std::function<void(std::string)> send);

    /// Marker to be returned as the result of a call, and the function that takes its reply.
    std::pair<Json::Value, json_rpc_server::reply_function> add();

    /// Sets the response made by libjsonrpccpp, which contains the markers.
    void set_frame(std::string const& response);

private:
    void set_reply(std::size_t index, absl::StatusOr<Json::Value> reply);
    void send_if_complete();
    void fill(Json::Value& response) const;

    std::function<void(std::string)> send_;
    std::vector<absl::StatusOr<Json::Value>> replies_;
    std::size_t missing_count_ = 0;
    Json::Value frame_;
    bool has_frame_ = false;
};

} // namespace almondcart
