#include "problem.hpp"

#include <almondcart/core/json.hpp>

namespace almondcart {

std::string problem_body(refusal const& refused, std::string_view request_key)
{
    auto const& entry = entry_of(refused.code);
    std::string const name(entry.name);
    Json::Value body(Json::objectValue);
    body["type"] = "urn:almondcart:" + name;
    body["title"] = name;
    body["status"] = entry.http_status;
    body["detail"] = refused.detail;
    body["code"] = static_cast<int>(refused.code);
    body["name"] = name;
    body["ran"] = std::string(name_of(refused.ran));
    if (!request_key.empty())
        body["request_key"] = std::string(request_key);
    return to_compact_json(body);
}

std::string retry_after_seconds(refusal const& refused)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    if (!refused.retry_after)
        return {};
    auto const n = refused.retry_after->count() + milliseconds_per_second - 1;
    return std::to_string(n / milliseconds_per_second);
}

} // namespace almondcart
