#include "order_forwarder.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>

#include <limits>
#include <memory>
#include <utility>

namespace almondcart {

namespace {

constexpr std::size_t body_limit_bytes = 65'536;

absl::StatusOr<std::int64_t> read_fencing_number(Json::Value const& params)
{
    json_reader reader(params, "order", result_code::malformed_request);
    auto const fencing_number =
        reader.integer("fencing_number", 0, std::numeric_limits<std::int64_t>::max());
    reader.string("kind");
    for (auto const* name : {"model", "adapter", "version", "role"})
        reader.string_or(name, "");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    return fencing_number;
}

} // namespace

order_forwarder::order_forwarder(
    agent_settings const& settings,
    http_client& client,
    order_fence& fence)
    : settings_(settings)
    , client_(client)
    , fence_(fence)
{}

void order_forwarder::handle(
    Json::Value const& params,
    std::function<void(absl::StatusOr<Json::Value>)> reply)
{
    auto const fencing_number = read_fencing_number(params);
    auto const status =
        fencing_number.ok() ? fence_.accept(*fencing_number) : fencing_number.status();
    if (!status.ok())
    {
        reply(status);
        return;
    }
    http_request request;
    request.address = settings_.upstream_address;
    request.method = "POST";
    request.path = "/orders";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = to_compact_json(params);
    request.is_connection_reusable = false;
    request.body_limit_bytes = body_limit_bytes;
    auto const http_status = std::make_shared<int>(0);
    http_callbacks callbacks;
    callbacks.on_headers = [http_status](http_response_head const& head)
    { *http_status = head.status; };
    callbacks.on_done = [http_status, reply = std::move(reply)](absl::Status const& done)
    {
        if (!done.ok())
            reply(done);
        else if (*http_status == entry_of(result_code::stale_fencing_number).http_status)
            reply(make_status(
                result_code::stale_fencing_number, "the upstream has accepted a newer order"));
        else if (*http_status >= 300)
            reply(make_status(
                result_code::upstream_failed,
                "the upstream responded to the order with status " + std::to_string(*http_status)));
        else
            reply(Json::Value(Json::objectValue));
    };
    client_.request(std::move(request), std::move(callbacks));
}

} // namespace almondcart
