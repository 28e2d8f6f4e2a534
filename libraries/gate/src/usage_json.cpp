#include <almondcart/gate/usage_json.hpp>

#include <algorithm>

namespace almondcart {

Json::Value to_json(std::vector<grant_part> const& parts)
{
    Json::Value value(Json::arrayValue);
    for (auto const& part : parts)
        value.append(to_json(part));
    return value;
}

std::vector<grant_part> read_grant_parts(json_reader& reader, std::string_view name)
{
    std::vector<grant_part> parts;
    reader.objects(name, [&](json_reader& it) { parts.push_back(read_grant_part(it)); });
    return parts;
}

Json::Value to_json(std::vector<usage_item> const& items)
{
    Json::Value value(Json::arrayValue);
    for (auto const& item : items)
        value.append(to_json(item));
    return value;
}

std::vector<usage_item> read_usage_items(json_reader& reader, std::string_view name)
{
    std::vector<usage_item> items;
    reader.objects(name, [&](json_reader& it) { items.push_back(read_usage_item(it)); });
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
