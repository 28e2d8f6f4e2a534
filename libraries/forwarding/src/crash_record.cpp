#include <almondcart/core/count.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/core/text.hpp>
#include <almondcart/forwarding/crash_record.hpp>

#include <limits>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Start times are only compared.
constexpr std::int64_t max_start_ms = std::numeric_limits<std::int64_t>::max();

std::optional<feature_list> parse_features(std::string_view text)
{
    feature_list features;
    for (auto const it : split(text, ','))
    {
        auto const feature = request_feature::parse(it);
        if (!feature)
            return std::nullopt;
        features.push_back(*feature);
    }
    return features;
}

} // namespace

std::string crash_record::key() const
{
    return vm + "/" + std::to_string(slot);
}

std::string crash_record::value() const
{
    Json::Value json(Json::objectValue);
    json["service"] = service;
    json["wall_time_ms"] = Json::Int64(wall_time_ms);
    if (crashed)
    {
        json["crashed"]["upstream"] = crashed->id;
        json["crashed"]["started_ms"] = Json::Int64(crashed->started_ms);
    }
    json["requests"] = Json::Value(Json::arrayValue);
    for (auto const& it : requests)
        json["requests"].append(text_of(it));
    return to_compact_json(json);
}

absl::StatusOr<crash_record> crash_record::parse(std::string_view key, std::string_view value)
{
    auto const slash = key.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
        return make_status(result_code::malformed_request, "the key is not \"vm/slot\"");
    auto const slot = parse_integer<int>(key.substr(slash + 1));
    if (!slot || *slot < 0 || *slot >= slot_count)
        return make_status(result_code::malformed_request, "the key has no valid slot");
    auto const json = parse_json(value);
    if (!json.ok())
        return json.status();
    json_reader reader(*json, "crash record", result_code::malformed_request);
    crash_record record;
    record.vm = key.substr(0, slash);
    record.slot = *slot;
    record.service = reader.string("service");
    record.wall_time_ms = reader.integer("wall_time_ms", 0, count_limit);
    if (reader.has("crashed"))
        reader.object(
            "crashed",
            [&](json_reader& it)
            {
                auto id = it.string("upstream");
                record.crashed = {std::move(id), it.integer("started_ms", 0, max_start_ms)};
            });
    for (auto const& text : reader.strings("requests"))
    {
        auto features = parse_features(text);
        if (!features)
            reader.fail("requests", "lists of features \"kind:id,kind:id\"");
        record.requests.push_back(std::move(features).value_or(feature_list()));
    }
    if (auto status = reader.finish(); !status.ok())
        return status;
    return record;
}

} // namespace almondcart::forwarding
