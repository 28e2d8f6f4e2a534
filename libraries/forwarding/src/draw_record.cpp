#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/forwarding/draw_record.hpp>

#include <algorithm>
#include <limits>

namespace almondcart::forwarding {

namespace {

constexpr char key_separator = '/';

} // namespace

std::string draw_record::key() const
{
    return owner.account + key_separator + owner.vm;
}

std::string draw_record::value() const
{
    Json::Value value(Json::objectValue);
    value["claimed_tokens"] = Json::Int64(claimed_tokens);
    value["demand_per_s"] = Json::Int64(demand_per_s);
    value["spent_tokens"] = Json::Int64(spending.spent_tokens);
    value["slack_tokens"] = Json::Int64(spending.slack_tokens);
    value["rate_per_s"] = Json::Int64(spending.rate_per_s);
    value["most_tokens"] = Json::Int64(spending.most_tokens);
    value["boot_ms"] = Json::Int64(written.boot_ms);
    value["wall_ms"] = Json::Int64(written.wall_ms);
    if (!peer_address.empty())
        value["peer_address"] = peer_address;
    return to_compact_json(value);
}

absl::StatusOr<draw_record> draw_record::parse(std::string_view key, std::string_view value)
{
    auto const separator = key.rfind(key_separator);
    if (separator == std::string_view::npos)
        return make_status(result_code::malformed_request, "draw record key has no separator");
    auto const json = parse_json(value);
    if (!json.ok())
        return json.status();
    draw_record record;
    record.owner = {std::string(key.substr(0, separator)), std::string(key.substr(separator + 1))};
    json_reader reader(*json, "draw record", result_code::malformed_request);
    // A larger number counts as the limit: a claim that is left out would be drawn again.
    auto const count = [&reader](std::string_view name)
    {
        constexpr auto maximum = std::numeric_limits<std::int64_t>::max();
        return std::min(reader.integer(name, 0, maximum), count_limit);
    };
    record.claimed_tokens = count("claimed_tokens");
    record.demand_per_s = count("demand_per_s");
    record.spending.spent_tokens = count("spent_tokens");
    record.spending.slack_tokens = count("slack_tokens");
    record.spending.rate_per_s = count("rate_per_s");
    record.spending.most_tokens = count("most_tokens");
    record.written.boot_ms = count("boot_ms");
    record.written.wall_ms = count("wall_ms");
    record.peer_address = reader.string_or("peer_address", {});
    if (auto status = reader.finish(); !status.ok())
        return status;
    return record;
}

} // namespace almondcart::forwarding
