#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/http/logical_time.hpp>

#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/client/batchresponse.h>

#include <memory>
#include <utility>

namespace almondcart {

namespace {

/// Response of one call while it is being received.
struct call_state
{
    json_rpc_client::result_callback callback;
    int id = 0;
    int status = 0;
    std::string body;
    timer timeout;
};

/// Status of a JSON-RPC error object; `data.code` is the numbered result code.
absl::Status to_status(Json::Value const& error)
{
    if (!error.isObject() || !error["message"].isString())
        return make_status(result_code::upstream_failed, "malformed JSON-RPC error");
    auto const message = error["message"].asString();
    auto const& data = error["data"];
    if (data.isObject() && data["code"].isInt())
    {
        auto const code = result_code_from_number(data["code"].asInt());
        if (code && *code != result_code::ok)
            return make_status(*code, message);
    }
    return make_status(result_code::upstream_failed, message);
}

absl::StatusOr<Json::Value> read_response(call_state const& call)
{
    if (call.status != 200)
        return make_status(
            result_code::upstream_failed, "HTTP status " + std::to_string(call.status));
    auto const document = parse_json(call.body);
    if (!document.ok())
        return make_status(result_code::upstream_failed, std::string(document.status().message()));
    jsonrpc::BatchResponse responses;
    if (!document->isArray() || document->size() != 1 || !(*document)[0].isObject())
        return make_status(result_code::upstream_failed, "expected one JSON-RPC response");
    auto const& response = (*document)[0];
    if (response.isMember("error"))
        return to_status(response["error"]);
    Json::Value id = response["id"];
    if (id != Json::Value(call.id) || !response.isMember("result"))
        return make_status(result_code::upstream_failed, "expected the result of this call");
    responses.addResponse(id, response["result"]);
    return responses.getResult(call.id);
}

} // namespace

json_rpc_client::json_rpc_client(
    event_loop& loop,
    http_client& client,
    event_journal& journal,
    std::size_t response_limit_bytes)
    : loop_(loop)
    , client_(client)
    , journal_(journal)
    , response_limit_bytes_(response_limit_bytes)
{}

http_call json_rpc_client::call(
    std::string const& address,
    std::string const& method,
    Json::Value const& params,
    duration timeout,
    result_callback callback)
{
    auto const state = std::make_shared<call_state>();
    state->callback = std::move(callback);
    jsonrpc::BatchCall batch;
    state->id = batch.addCall(method, params);

    http_request request;
    request.address = address;
    request.method = "POST";
    request.path = "/rpc";
    request.headers = {{"content-type", "application/json"}};
    add_logical_time(request.headers, journal_);
    request.body = batch.toString();
    request.connect_timeout = timeout;
    request.first_byte_timeout = duration(0);
    request.idle_timeout = duration(0);
    request.body_limit_bytes = response_limit_bytes_;

    http_callbacks callbacks;
    callbacks.on_headers = [&journal = journal_, state](http_response_head const& head)
    {
        state->status = head.status;
        observe_logical_time(head.headers, journal);
    };
    callbacks.on_body = [state](std::string_view data) { state->body += data; };
    callbacks.on_done = [state](absl::Status const& status)
    {
        state->timeout.cancel();
        if (status.ok())
            state->callback(read_response(*state));
        else
            state->callback(status);
    };
    auto call = client_.request(std::move(request), std::move(callbacks));
    state->timeout = loop_.after(
        timeout + duration(1),
        [state, call, address]() mutable
        {
            if (!call.is_active())
                return;
            call.cancel();
            state->callback(make_status(
                result_code::upstream_lost, address + ": no JSON-RPC response in time"));
        });
    return call;
}

} // namespace almondcart
