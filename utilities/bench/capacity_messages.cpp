#include "capacity_messages.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/heartbeat.hpp>

#include <functional>
#include <utility>
#include <vector>

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

namespace {

constexpr int repeats = 300;

/// Measures one message. `write` creates its text and `read` parses it.
Json::Value measure(
    std::string_view name,
    std::function<std::string()> const& write,
    std::function<bool(std::string const&)> const& read)
{
    auto const text = write();
    Json::Value value;
    value["name"] = std::string(name);
    value["bytes"] = Json::UInt64(text.size());
    capacity_probe const writing;
    for (int n = 0; n < repeats; ++n)
        static_cast<void>(write());
    value["write_ns"] = Json::Int64(writing.cpu_ns() / repeats);
    bool is_parsed = true;
    capacity_probe const reading;
    for (int n = 0; n < repeats; ++n)
        is_parsed = read(text) && is_parsed;
    value["parse_ns"] = Json::Int64(reading.cpu_ns() / repeats);
    value["is_parsed"] = is_parsed;
    return value;
}

Json::Value measure_record(std::string const& name, record_body const& body)
{
    auto const record = sample_record(123'456, body);
    return measure(
        name,
        [&] { return to_compact_json(to_json(record)); },
        [](std::string const& text)
        {
            auto const value = parse_json(text);
            return value.ok() && parse_record(*value).ok();
        });
}

usage_record sample_usages(int items)
{
    usage_record record;
    for (int n = 0; n < items; ++n)
        record.items.push_back(
            sample_usage(sample_request(sample_budget(0).account, n), {12, 123'456'789}));
    return record;
}

recover_record sample_recover(int agents)
{
    recover_record record{{12, 123'456'789}, {}};
    for (int n = 0; n < agents; ++n)
        record.reports.push_back(sample_agent(n));
    return record;
}

Json::Value rpc_call(std::string const& method, Json::Value params)
{
    Json::Value value;
    value["jsonrpc"] = "2.0";
    value["id"] = 1;
    value["method"] = method;
    value["params"] = std::move(params);
    return value;
}

Json::Value rpc_result(Json::Value result)
{
    Json::Value value;
    value["jsonrpc"] = "2.0";
    value["id"] = 1;
    value["result"] = std::move(result);
    return value;
}

Json::Value measure_json(std::string const& name, std::function<Json::Value()> const& create)
{
    return measure(
        name,
        [&] { return to_compact_json(create()); },
        [](std::string const& text) { return parse_json(text).ok(); });
}

agent_heartbeat sample_heartbeat(int agent, int prefixes)
{
    agent_heartbeat heartbeat;
    heartbeat.agent = sample_agent(agent);
    heartbeat.upstream = sample_upstream(agent);
    heartbeat.address = "10.12.134.156:7201";
    heartbeat.config_offset = 123'456;
    heartbeat.queue = heartbeat.running = heartbeat.free_slots = 12;
    for (int n = 0; n < prefixes; ++n)
        heartbeat.cache_prefixes.push_back(sample_fingerprint(n).substr(0, 16));
    return heartbeat;
}

Json::Value measure_heartbeat(std::string const& name, int prefixes)
{
    auto const heartbeat = sample_heartbeat(17, prefixes);
    return measure(
        name,
        [&] { return to_compact_json(rpc_call("heartbeat", to_json(heartbeat))); },
        [](std::string const& text)
        {
            auto const value = parse_json(text);
            return value.ok() && parse_agent_heartbeat((*value)["params"]).ok();
        });
}

Json::Value peer_heartbeat(int router)
{
    Json::Value value;
    value["router"] = to_text(sample_router(router));
    value["address"] = "10.12.134.156:7101";
    value["leaving"] = false;
    value["config_offset"] = 123'456;
    for (int n = 0; n < budget_shard_count; ++n)
        value["shard_offsets"].append(123'456'789);
    return value;
}

Json::Value read_request()
{
    Json::Value value;
    for (int n = 0; n < budget_shard_count; ++n)
    {
        Json::Value position;
        position["stream"] = budget_stream(n);
        position["from"] = 123'456'789;
        value["positions"].append(position);
    }
    value["limit"] = 500;
    value["wait_ms"] = 1000;
    return value;
}

Json::Value empty_read_response()
{
    Json::Value value;
    for (int n = 0; n < budget_shard_count; ++n)
    {
        Json::Value stream;
        stream["stream"] = budget_stream(n);
        stream["first_offset"] = 120'000'000;
        stream["next_offset"] = 123'456'789;
        stream["records"] = Json::Value(Json::arrayValue);
        value["streams"].append(stream);
    }
    return value;
}

Json::Value transfer_request()
{
    Json::Value params;
    params["transfer"] = to_text(sample_router(17)) + ":123456";
    params["budget"] = to_text(sample_budget(17));
    params["tokens"] = 1'000'000;
    return rpc_call("transfer_tokens", params);
}

Json::Value transfer_response()
{
    Json::Value result;
    result["parts"].append(to_json(grant_part{{12, 123'456'789}, 1'000'000}));
    result["config_offset"] = 123'456;
    return rpc_result(result);
}

Json::Value acknowledge_request()
{
    Json::Value params;
    params["requests"].append(to_text(sample_request(sample_budget(0).account, 1)));
    return rpc_call("acknowledge", params);
}

Json::Value close_grant_request()
{
    Json::Value params;
    params["grant"] = to_text(grant_id{12, 123'456'789});
    return rpc_call("close_grant", params);
}

Json::Value close_grant_response()
{
    Json::Value result;
    result["agent"] = to_text(sample_agent(17));
    result["finished"] = Json::Value(Json::arrayValue);
    result["running"] = 0;
    return rpc_result(result);
}

} // namespace

Json::Value create_heartbeat_call(int agent)
{
    return rpc_call("heartbeat", to_json(sample_heartbeat(agent, 0)));
}

Json::Value create_heartbeat_result()
{
    return rpc_result(to_json(agent_heartbeat_result{sample_router(17), 123'456, true}));
}

Json::Value create_peer_heartbeat_call(int router)
{
    return rpc_call("peer_heartbeat", peer_heartbeat(router));
}

Json::Value create_peer_heartbeat_result(int router)
{
    return rpc_result(peer_heartbeat(router));
}

Json::Value measure_records()
{
    auto const budget = sample_budget(0);
    auto const request = sample_request(budget.account, 1);
    grant_id const grant{12, 123'456'789};
    Json::Value value(Json::arrayValue);
    value.append(measure_record("limit", limit_record{budget, 2'000'000'000, {}, 123'456}));
    value.append(measure_record("grant", grant_record{budget, 2'000'000, 12'345}));
    value.append(measure_record("return", return_record{grant, 2'000'000}));
    value.append(measure_record("usage_1", sample_usages(1)));
    value.append(measure_record("usage_16", sample_usages(16)));
    value.append(measure_record("close", close_record{grant, "router presumed dead"}));
    value.append(measure_record("recover_20", sample_recover(20)));
    value.append(measure_record("recover_6400", sample_recover(6'400)));
    value.append(
        measure_record("agent_start", agent_start_record{sample_agent(1), sample_upstream(1)}));
    value.append(measure_record("agent_stop", agent_stop_record{sample_agent(1)}));
    value.append(measure_record("intent", sample_intent(request)));
    value.append(measure_record("void", void_record{request, 1}));
    value.append(measure_record("outcome_200", sample_outcome(request)));
    value.append(measure_record(
        "crash_report",
        crash_report_record{
            sample_fingerprint(1), sample_upstream(1), to_text(sample_agent(1)), request}));
    return value;
}

Json::Value measure_messages()
{
    Json::Value value(Json::arrayValue);
    value.append(measure_heartbeat("heartbeat", 0));
    value.append(measure_heartbeat("heartbeat_32_prefixes", 32));
    value.append(measure_json("heartbeat_result", create_heartbeat_result));
    value.append(measure_json("peer_heartbeat", [] { return create_peer_heartbeat_call(17); }));
    value.append(
        measure_json("peer_heartbeat_result", [] { return create_peer_heartbeat_result(17); }));
    value.append(measure_json("read_request", read_request));
    value.append(measure_json("read_response_empty", empty_read_response));
    value.append(measure_json("transfer_tokens", transfer_request));
    value.append(measure_json("transfer_tokens_result", transfer_response));
    value.append(measure_json("acknowledge_1", acknowledge_request));
    value.append(measure_json("close_grant", close_grant_request));
    value.append(measure_json("close_grant_result", close_grant_response));
    return value;
}

} // namespace almondcart::bench
