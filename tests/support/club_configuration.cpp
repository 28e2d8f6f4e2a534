#include "club_configuration.hpp"

#include <almondcart/core/json.hpp>

namespace almondcart::test_support {

std::string club_configuration::text() const
{
    Json::Value config(Json::objectValue);
    config["version"] = version;
    auto const add_route = [&](char const* path, char const* kind, bool is_resumable, int limit)
    {
        Json::Value route(Json::objectValue);
        route["name"] = path;
        route["hostname"] = "club.example";
        route["pathPrefix"] = path;
        route["kind"] = kind;
        route["timeoutMs"] = route_timeout_ms;
        route["backend"] = "models";
        route["attempts"] = limit;
        route["streamResume"] = is_resumable;
        config["routes"].append(route);
    };
    add_route("/safe/", "safe", false, 2);
    add_route("/unsafe/", "unsafe", false, 1);
    add_route("/stream/", "streaming", false, 1);
    add_route("/resume/", "streaming", true, 2);
    Json::Value service(Json::objectValue);
    service["name"] = "models";
    service["engine"]["slots"] = 8;
    service["engine"]["stride"] = 4;
    service["coldStartS"] = 10;
    service["coldPerS"] = cold_per_second;
    config["backends"].append(service);
    Json::Value account(Json::objectValue);
    account["name"] = "club";
    account["apiKeys"].append(key);
    account["prepaid"] = Json::Int64(prepaid_tokens);
    config["tenants"].append(account);
    return to_compact_json(config);
}

} // namespace almondcart::test_support
