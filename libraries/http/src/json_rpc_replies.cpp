#include "json_rpc_replies.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

namespace almondcart {

namespace {

constexpr char const* placeholder_member = "almondcart_reply";

/// From the range that JSON-RPC reserves for server-defined errors.
constexpr int method_error_code = -32000;

/// Replies with an error if a method releases its reply function without calling it.
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
    ++pending_count_;
    Json::Value placeholder;
    placeholder[placeholder_member] = static_cast<Json::UInt64>(index);
    auto const guard = std::make_shared<reply_guard>(
        [self = shared_from_this(), index](absl::StatusOr<Json::Value> reply)
        { self->set_reply(index, std::move(reply)); });
    return {placeholder, [guard](absl::StatusOr<Json::Value> reply) {
                guard->reply(std::move(reply));
            }};
}

void json_rpc_replies::set_response(std::string const& response)
{
    // The response is empty if the body contained only notifications.
    if (!response.empty())
        response_ = parse_json(response).value_or(Json::Value());
    has_response_ = true;
    send_if_complete();
}

void json_rpc_replies::set_reply(std::size_t index, absl::StatusOr<Json::Value> reply)
{
    replies_.at(index) = std::move(reply);
    --pending_count_;
    send_if_complete();
}

void json_rpc_replies::send_if_complete()
{
    if (!has_response_ || pending_count_ != 0 || send_ == nullptr)
        return;
    if (response_.isArray())
    {
        for (auto& response : response_)
            replace_placeholder(response);
    }
    else
    {
        replace_placeholder(response_);
    }
    auto const send = std::exchange(send_, nullptr);
    send(response_.isNull() ? std::string() : to_compact_json(response_));
}

void json_rpc_replies::replace_placeholder(Json::Value& response) const
{
    if (!response.isObject() || !response["result"].isObject() ||
        !response["result"].isMember(placeholder_member))
        return;
    auto const& reply = replies_.at(response["result"][placeholder_member].asUInt64());
    if (reply.ok())
    {
        response["result"] = *reply;
        return;
    }
    response.removeMember("result");
    response["error"] = to_error(reply.status());
}

} // namespace almondcart
