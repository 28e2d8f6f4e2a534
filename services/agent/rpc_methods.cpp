#include "rpc_methods.hpp"

#include <almondcart/core/json_reader.hpp>
#include <almondcart/gate/usage_json.hpp>

#include <set>
#include <string>
#include <utility>

namespace almondcart {

namespace {

constexpr std::int64_t attempt_limit = 1'000'000;

std::string_view name_of(placement_state state)
{
    switch (state)
    {
    case placement_state::placed:
        return "placed";
    case placement_state::suspect:
        return "suspect";
    case placement_state::refused:
        break;
    }
    return "refused";
}

std::set<std::string> read_set(json_reader& reader, std::string_view name)
{
    auto const values = reader.strings_or(name, {});
    return {values.begin(), values.end()};
}

request_id read_request(json_reader& reader)
{
    auto const request = parse_request_id(reader.string("request"));
    if (!request)
        reader.fail("request", "a request id \"service/account#key\"");
    return request.value_or(request_id{});
}

} // namespace

rpc_methods::rpc_methods(
    json_rpc_server& server,
    work_gate& gate,
    order_forwarder& orders,
    run_placements& placements,
    hooks hooks)
    : gate_(gate)
    , placements_(placements)
    , hooks_(std::move(hooks))
{
    server.bind_immediate("acknowledge", [this](auto const& it) { return acknowledge(it); });
    server.bind_immediate("close_grant", [this](auto const& it) { return close_grant(it); });
    server.bind_immediate("fence_request", [this](auto const& it) { return fence_request(it); });
    server.bind_immediate("find_request", [this](auto const& it) { return find_request(it); });
    server.bind_immediate("cancel", [this](auto const& it) { return cancel(it); });
    server.bind_immediate("place", [this](auto const& it) { return place(it); });
    server.bind_immediate(
        "clear_fingerprint", [this](auto const& it) { return clear_fingerprint(it); });
    server.bind_immediate(
        "drain",
        [this](auto const&) -> absl::StatusOr<Json::Value>
        {
            hooks_.drain();
            return create_result();
        });
    server.bind(
        "order",
        [this, &orders](Json::Value const& params, json_rpc_server::reply_function reply)
        {
            orders.handle(
                params,
                [this, reply = std::move(reply)](absl::StatusOr<Json::Value> const& result)
                { reply(result.ok() ? create_result() : result); });
        });
}

Json::Value rpc_methods::create_result() const
{
    Json::Value result;
    result["config_offset"] = Json::Int64(hooks_.config_offset());
    return result;
}

absl::StatusOr<Json::Value> rpc_methods::acknowledge(Json::Value const& params)
{
    json_reader reader(params, "acknowledge", result_code::malformed_request);
    std::vector<request_id> requests;
    for (auto const& text : reader.strings("requests"))
    {
        if (auto const request = parse_request_id(text))
            requests.push_back(*request);
        else
            reader.fail("requests", "request ids \"service/account#key\"");
    }
    if (auto const status = reader.finish(); !status.ok())
        return status;
    gate_.acknowledge(requests);
    return create_result();
}

absl::StatusOr<Json::Value> rpc_methods::close_grant(Json::Value const& params)
{
    json_reader reader(params, "close_grant", result_code::malformed_request);
    auto const grant = parse_grant_id(reader.string("grant"));
    if (!grant)
        reader.fail("grant", "a grant id \"shard:offset\"");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    auto const report = gate_.close_grant(*grant);
    auto result = create_result();
    result["agent"] = to_text(gate_.self());
    result["finished"] = to_json(report.finished);
    result["running"] = report.running;
    return result;
}

absl::StatusOr<Json::Value> rpc_methods::fence_request(Json::Value const& params)
{
    json_reader reader(params, "fence_request", result_code::malformed_request);
    auto const request = read_request(reader);
    auto const attempt = static_cast<int>(reader.integer("attempt", 1, attempt_limit));
    if (auto const status = reader.finish(); !status.ok())
        return status;
    auto result = create_result();
    result["state"] = std::string(almondcart::name_of(gate_.fence_request(request, attempt)));
    return result;
}

absl::StatusOr<Json::Value> rpc_methods::find_request(Json::Value const& params)
{
    json_reader reader(params, "find_request", result_code::malformed_request);
    auto const request = read_request(reader);
    if (auto const status = reader.finish(); !status.ok())
        return status;
    auto result = create_result();
    result["state"] = std::string(almondcart::name_of(gate_.find_request(request)));
    result["agent"] = to_text(gate_.self());
    return result;
}

absl::StatusOr<Json::Value> rpc_methods::cancel(Json::Value const& params)
{
    json_reader reader(params, "cancel", result_code::malformed_request);
    auto const request = read_request(reader);
    if (auto const status = reader.finish(); !status.ok())
        return status;
    gate_.cancel(request);
    return create_result();
}

absl::StatusOr<Json::Value> rpc_methods::place(Json::Value const& params)
{
    json_reader reader(params, "place", result_code::malformed_request);
    placement_request request;
    request.fingerprint = reader.string("fingerprint");
    request.proposed = reader.string("proposed");
    request.crashes = parse_crash_set(reader.value_or_null("crashes"));
    request.unusable = read_set(reader, "unusable");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    if (hooks_.is_blocked(request.fingerprint))
        placements_.block(request.fingerprint);
    auto const placement = placements_.place(request);
    auto result = create_result();
    result["state"] = std::string(name_of(placement.state));
    result["upstream"] = placement.upstream;
    result["crashes"] = crash_set_to_json(placement.crashes);
    return result;
}

absl::StatusOr<Json::Value> rpc_methods::clear_fingerprint(Json::Value const& params)
{
    json_reader reader(params, "clear_fingerprint", result_code::malformed_request);
    auto const fingerprint = reader.string("fingerprint");
    static_cast<void>(reader.value_or_null("crashes"));
    if (auto const status = reader.finish(); !status.ok())
        return status;
    placements_.clear(fingerprint);
    return create_result();
}

} // namespace almondcart
