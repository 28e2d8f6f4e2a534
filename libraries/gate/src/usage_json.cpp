#include <almondcart/gate/usage_json.hpp>

#include <algorithm>
#include <limits>

namespace almondcart {

namespace {

constexpr std::int64_t number_limit = std::numeric_limits<std::int64_t>::max();

grant_part read_reserved_part(json_reader& it)
{
    grant_part part;
    auto const grant = try_grant_id(it.string("grant"));
    if (grant)
        part.grant = *grant;
    else
        it.fail("grant", "a grant id \"shard:offset\"");
    part.tokens = it.integer("tokens", 0, number_limit);
    return part;
}

} // namespace

Json::Value to_json(std::vector<grant_part> const& parts)
{
    Json::Value value(Json::arrayValue);
    for (auto const& part : parts)
    {
        Json::Value entry;
        entry["grant"] = to_text(part.grant);
        entry["tokens"] = Json::Int64(part.tokens);
        value.append(std::move(entry));
    }
    return value;
}

std::vector<grant_part> read_grant_parts(json_reader& reader, std::string_view name)
{
    std::vector<grant_part> parts;
    reader.objects(name, [&](json_reader& it) { parts.push_back(read_reserved_part(it)); });
    return parts;
}

Json::Value to_json(std::vector<usage_item> const& items)
{
    Json::Value value(Json::arrayValue);
    for (auto const& item : items)
    {
        Json::Value entry;
        entry["request"] = to_text(item.request);
        entry["started_ms"] = Json::Int64(item.started_ms);
        entry["parts"] = to_json(item.parts);
        value.append(std::move(entry));
    }
    return value;
}

std::vector<usage_item> read_usage_items(json_reader& reader, std::string_view name)
{
    std::vector<usage_item> items;
    reader.objects(
        name,
        [&](json_reader& it)
        {
            usage_item item;
            auto const request = try_request_id(it.string("request"));
            if (request)
                item.request = *request;
            else
                it.fail("request", "a request id \"service/account#key\"");
            item.started_ms = it.integer("started_ms", 0, number_limit);
            item.parts = read_grant_parts(it, "parts");
            items.push_back(std::move(item));
        });
    return items;
}

std::vector<grant_part> split_over_grants(std::vector<grant_part> const& grants, token_count tokens)
{
    std::vector<grant_part> parts;
    for (auto const& reserved : grants)
    {
        token_count const n = std::min(tokens, reserved.tokens);
        if (n <= 0)
            continue;
        parts.push_back({reserved.grant, n});
        tokens -= n;
    }
    return parts;
}

} // namespace almondcart
