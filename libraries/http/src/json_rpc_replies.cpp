#include "json_rpc_replies.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

namespace almondcart {

namespace {

constexpr char const* marker_member = "almondcart_reply";

/// JSON-RPC's range for errors of the server's own.
constexpr int method_error_code = -32000;

/// Calls the reply with an error if a method has released it without a reply.
class reply_guard
{
public:
    explicit reply_guard(json_rpc_server::reply_function reply)
        : reply_(std::move(reply))
    {}
    ~reply_guard()
    {
        if (reply_ != nullptr)
            reply_(make_status(result_code::internal_error, "method did not reply"));
    }
    reply_guard(reply_guard const&) = delete;
    reply_guard& operator=(reply_guard const&) = delete;

    void reply(absl::StatusOr<Json::Value> value)
    {
        if (auto const function = std::exchange(reply_, nullptr))
            function(std::move(value));
    }

private:
    json_rpc_server::reply_function reply_;
};

Json::Value to_error(absl::Status const& status)
{
    Json::Value error;
    error["code"] = method_error_code;
    error["message"] = std::string(status.message());
    error["data"]["code"] = static_cast<int>(code_of(status));
    return error;
}

} // namespace

json_rpc_replies::json_rpc_replies(std::function<void(std::string)> send)
    : send_(std::move(send))
{}

std::pair<Json::Value, json_rpc_server::reply_function> json_rpc_replies::add()
{
    auto const index = replies_.size();
    replies_.emplace_back(Json::Value());
    ++missing_count_;
    Json::Value marker;
    marker[marker_member] = static_cast<Json::UInt64>(index);
    auto const guard = std::make_shared<reply_guard>(
        [self = shared_from_this(), index](absl::StatusOr<Json::Value> reply)
        { self->set_reply(index, std::move(reply)); });
    return {marker, [guard](absl::StatusOr<Json::Value> reply) { guard->reply(std::move(reply)); }};
}

void json_rpc_replies::set_frame(std::string const& response)
{
    // An empty response belongs to a body of notifications only.
    if (!response.empty())
        frame_ = parse_json(response).value_or(Json::Value());
    has_frame_ = true;
    send_if_complete();
}

void json_rpc_replies::set_reply(std::size_t index, absl::StatusOr<Json::Value> reply)
{
    replies_.at(index) = std::move(reply);
    --missing_count_;
    send_if_complete();
}

void json_rpc_replies::send_if_complete()
{
    if (!has_frame_ || missing_count_ != 0 || send_ == nullptr)
        return;
    if (frame_.isArray())
    {
        for (auto& response : frame_)
            fill(response);
    }
    else
    {
        fill(frame_);
    }
    auto const send = std::exchange(send_, nullptr);
    send(frame_.isNull() ? std::string() : to_compact_json(frame_));
}

void json_rpc_replies::fill(Json::Value& response) const
{
    if (!response.isObject() || !response["result"].isObject() ||
        !response["result"].isMember(marker_member))
        return;
    auto const& reply = replies_.at(response["result"][marker_member].asUInt64());
    if (reply.ok())
    {
        response["result"] = *reply;
        return;
    }
    response.removeMember("result");
    response["error"] = to_error(reply.status());
}

} // namespace almondcart
