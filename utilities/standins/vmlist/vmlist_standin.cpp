#include "vmlist_standin.hpp"

#include "../common/standin_program.hpp"

namespace almondcart {

vmlist_standin::vmlist_standin(event_loop& loop, http_server& server, duration lag)
    : loop_(loop)
    , lag_(lag)
{
    visible_["vms"] = Json::Value(Json::arrayValue);
    server.route("GET", "/v1/vms", [this](auto const& it) { respond_json(*it, 200, visible_); });
    server.route("POST", "/v1/vms", [this](auto const& it) { handle_replace(*it); });
}

void vmlist_standin::handle_replace(http_exchange& exchange)
{
    auto request = read_json_object(exchange);
    if (request.isNull())
        return;
    if (!request["vms"].isArray())
        return respond_json(exchange, 400, Json::Value("expected vms"));
    loop_.after(lag_, [this, request] { visible_ = request; });
    respond_json(exchange, 200, Json::Value(Json::objectValue));
}

} // namespace almondcart
