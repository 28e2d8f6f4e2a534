#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/gate/heartbeat.hpp>

#include <limits>
#include <optional>
#include <string_view>

namespace almondcart {

namespace {

constexpr std::int64_t running_limit = std::numeric_limits<int>::max();

process_id read_process(json_reader& reader, std::string_view name)
{
    auto const id = parse_process_id(reader.string(name));
    if (!id)
        reader.fail(name, "a process id \"name@incarnation\"");
    return id.value_or(process_id{});
}

Json::Value to_json(crash_notice const& notice)
{
    Json::Value json;
    json["crash"] = notice.crash;
    json["requests"] = Json::arrayValue;
    for (auto const& request : notice.requests)
    {
        Json::Value entry;
        entry["request"] = to_text(request.request);
        entry["fingerprint"] = request.fingerprint;
        entry["suspect"] = request.ran_as_suspect;
        json["requests"].append(std::move(entry));
    }
    return json;
}

crash_notice read_crash(json_reader& reader)
{
    crash_notice notice;
    notice.crash = reader.string("crash");
    reader.objects(
        "requests",
        [&](json_reader& it)
        {
            auto const request = parse_request_id(it.string("request"));
            if (!request)
                it.fail("request", "a request id \"service/account#key\"");
            notice.requests.push_back(
                {request.value_or(request_id{}), it.string("fingerprint"), it.boolean("suspect")});
        });
    return notice;
}

} // namespace

Json::Value to_json(agent_heartbeat const& value)
{
    Json::Value json;
    json["agent"] = to_text(value.agent);
    json["upstream"] = value.upstream;
    json["address"] = value.address;
    json["leaving"] = value.is_leaving;
    json["config_offset"] = Json::Int64(value.config_offset);
    json["queue"] = value.queue;
    json["running"] = value.running;
    json["free_slots"] = value.free_slots;
    json["suspect_running"] = value.is_suspect_running;
    json["routers"] = Json::arrayValue;
    for (auto const& router : value.routers)
        json["routers"].append(to_text(router));
    json["cache_prefixes"] = Json::arrayValue;
    for (auto const& prefix : value.cache_prefixes)
        json["cache_prefixes"].append(prefix);
    json["crashes"] = Json::arrayValue;
    for (auto const& notice : value.crashes)
        json["crashes"].append(to_json(notice));
    return json;
}

Json::Value to_json(agent_heartbeat_result const& value)
{
    Json::Value json;
    json["router"] = to_text(value.router);
    json["config_offset"] = Json::Int64(value.config_offset);
    json["registered"] = value.is_registered;
    return json;
}

absl::StatusOr<agent_heartbeat> parse_agent_heartbeat(Json::Value const& json)
{
    agent_heartbeat value;
    json_reader reader(json, "heartbeat", result_code::malformed_request);
    value.agent = read_process(reader, "agent");
    value.upstream = reader.string("upstream");
    value.address = reader.string("address");
    value.is_leaving = reader.boolean("leaving");
    value.config_offset = reader.integer("config_offset", -1, count_limit);
    value.queue = static_cast<int>(reader.integer("queue", 0, running_limit));
    value.running = static_cast<int>(reader.integer("running", 0, running_limit));
    value.free_slots = static_cast<int>(reader.integer("free_slots", 0, running_limit));
    value.is_suspect_running = reader.boolean("suspect_running");
    for (auto const& text : reader.strings("routers"))
    {
        if (auto const router = parse_process_id(text))
            value.routers.push_back(*router);
        else
            reader.fail("routers", "process ids \"name@incarnation\"");
    }
    value.cache_prefixes = reader.strings("cache_prefixes");
    reader.objects("crashes", [&](json_reader& it) { value.crashes.push_back(read_crash(it)); });
    if (auto const status = reader.finish(); !status.ok())
        return status;
    return value;
}

absl::StatusOr<agent_heartbeat_result> parse_agent_heartbeat_result(Json::Value const& json)
{
    agent_heartbeat_result value;
    json_reader reader(json, "heartbeat result", result_code::malformed_request);
    value.router = read_process(reader, "router");
    value.config_offset = reader.integer("config_offset", -1, count_limit);
    value.is_registered = reader.boolean("registered");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    return value;
}

} // namespace almondcart
