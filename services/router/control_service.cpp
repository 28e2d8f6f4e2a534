#include "control_service.hpp"

#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/gate/usage_json.hpp>

#include <map>
#include <utility>

namespace almondcart {

namespace {

absl::Status malformed(std::string_view detail)
{
    return make_status(result_code::malformed_request, detail);
}

} // namespace

control_service::control_service(
    router_context& context,
    dependencies dependencies,
    json_rpc_server& server)
    : context_(context)
    , dependencies_(std::move(dependencies))
{
    auto const bind =
        [this, &server](
            std::string const& method, result (control_service::*function)(Json::Value const&))
    {
        server.bind_immediate(
            method,
            [this, function](Json::Value const& params) -> result
            { return (this->*function)(params); });
    };
    bind("heartbeat", &control_service::heartbeat);
    bind("configuration_since", &control_service::configuration_since);
    bind("peer_heartbeat", &control_service::peer_heartbeat);
    bind("shard_snapshot", &control_service::shard_snapshot);
    bind("transfer_tokens", &control_service::transfer_tokens);
    bind("report_usage", &control_service::report_usage);
    bind("agent_stopped", &control_service::agent_stopped);
    bind("block_fingerprint", &control_service::block_fingerprint);
    bind("clear_fingerprint", &control_service::clear_fingerprint);
    server.bind(
        "publish",
        [this](Json::Value const& params, json_rpc_server::reply_function const& reply)
        { dependencies_.publisher.publish(params, reply); });
    server.bind_immediate(
        "drain",
        [this](Json::Value const&) -> result
        {
            dependencies_.drain();
            return Json::Value(Json::objectValue);
        });
}

control_service::result control_service::heartbeat(Json::Value const& params)
{
    auto heartbeat = parse_agent_heartbeat(params);
    if (!heartbeat.ok())
        return heartbeat.status();
    agent_heartbeat_result reply;
    reply.router = context_.self;
    reply.config_offset = context_.state.configuration().offset();
    reply.is_registered =
        dependencies_.registrar.handle_heartbeat(heartbeat->agent, heartbeat->upstream);
    auto const* before = context_.members.find_upstream(heartbeat->upstream);
    bool const is_new = before == nullptr || before->agent != heartbeat->agent;
    // An unregistered agent must not get work, so it is not added to the membership.
    if (reply.is_registered &&
        context_.members.apply(agent_presence{
            heartbeat->agent, heartbeat->upstream, heartbeat->address, heartbeat->is_leaving}))
    {
        if (is_new)
        {
            if (auto* pool = context_.pools.find_by_upstream(heartbeat->upstream))
                pool->selector().restarted(heartbeat->upstream);
        }
        apply_load(*heartbeat);
        apply_crashes(*heartbeat);
        context_.suspects.set_has_suspect(heartbeat->upstream, heartbeat->is_suspect_running);
        dependencies_.agents.add(*heartbeat);
    }
    return to_json(reply);
}

void control_service::apply_load(agent_heartbeat const& heartbeat)
{
    auto* pool = context_.pools.find_by_upstream(heartbeat.upstream);
    if (pool == nullptr)
        return;
    load_report report;
    report.running = heartbeat.running;
    report.queued = heartbeat.queue;
    report.received = pool->selector().dispatched_count(heartbeat.upstream);
    pool->selector().apply(heartbeat.upstream, report);
}

void control_service::apply_crashes(agent_heartbeat const& heartbeat)
{
    for (auto const& notice : heartbeat.crashes)
    {
        upstream_crash crash;
        crash.crash = notice.crash;
        crash.upstream = heartbeat.upstream;
        crash.agent = to_text(heartbeat.agent);
        for (auto const& it : notice.requests)
            crash.requests.push_back({to_text(it.request), it.fingerprint, it.ran_as_suspect});
        context_.suspects.apply(crash);
    }
}

control_service::result control_service::configuration_since(Json::Value const& params)
{
    json_reader reader(params, "configuration_since", result_code::malformed_request);
    auto const offset = reader.integer("offset", -1, count_limit);
    if (auto status = reader.finish(); !status.ok())
        return status;
    auto const& configuration = context_.state.configuration();
    Json::Value value(Json::objectValue);
    value["config_offset"] = Json::Int64(configuration.offset());
    if (configuration.offset() > offset)
        value["state"] = configuration.to_json();
    return value;
}

control_service::result control_service::peer_heartbeat(Json::Value const& params)
{
    if (auto status = dependencies_.peers.receive(params); !status.ok())
        return status;
    return dependencies_.peers.heartbeat();
}

control_service::result control_service::shard_snapshot(Json::Value const& params)
{
    json_reader reader(params, "shard_snapshot", result_code::malformed_request);
    auto const shard = static_cast<int>(reader.integer("shard", 0, budget_shard_count - 1));
    auto const above = reader.integer("above_offset", -1, count_limit);
    if (auto status = reader.finish(); !status.ok())
        return status;
    auto const& state = context_.state.shard(shard);
    Json::Value value(Json::objectValue);
    value["offset"] = Json::Int64(state.offset());
    if (state.offset() > above)
        value["state"] = state.to_json();
    return value;
}

control_service::result control_service::transfer_tokens(Json::Value const& params)
{
    json_reader reader(params, "transfer_tokens", result_code::malformed_request);
    auto const transfer = parse_transfer_id(reader.string("transfer"));
    auto const budget = parse_budget_id(reader.string("budget"));
    auto const tokens = reader.integer("tokens", 1, count_limit);
    if (auto status = reader.finish(); !status.ok())
        return status;
    if (!transfer || !budget)
        return malformed("transfer_tokens: expected a transfer id and a budget id");
    auto const parts = context_.holder.transfer_out(*transfer, *budget, tokens);
    if (!parts.ok())
        return parts.status();
    Json::Value value(Json::objectValue);
    value["parts"] = to_json(*parts);
    return value;
}

control_service::result control_service::report_usage(Json::Value const& params)
{
    json_reader reader(params, "report_usage", result_code::malformed_request);
    auto const agent = parse_process_id(reader.string_or("agent", ""));
    auto const items = read_usage_items(reader, "items");
    if (auto status = reader.finish(); !status.ok())
        return status;
    submit_usage(items);
    auto const* heartbeat = agent ? dependencies_.agents.find(*agent) : nullptr;
    if (heartbeat != nullptr)
    {
        for (auto const& item : items)
            dependencies_.acknowledger.track(item.request, heartbeat->upstream);
    }
    Json::Value value(Json::objectValue);
    value["accepted"] = static_cast<Json::UInt64>(items.size());
    return value;
}

void control_service::submit_usage(std::vector<usage_item> const& items)
{
    std::map<int, usage_record> by_shard;
    for (auto const& item : items)
    {
        auto const& shard = context_.state.shard_of_account(item.request.account);
        auto const* entry = shard.find_request(item.request);
        if (entry == nullptr || !entry->is_billed)
            by_shard[shard.shard()].items.push_back(item);
    }
    for (auto& [shard, record] : by_shard)
        context_.submit(std::move(record));
}

control_service::result control_service::agent_stopped(Json::Value const& params)
{
    auto const agent = parse_process_id(params["agent"].asString());
    if (!agent)
        return malformed("agent_stopped: expected a process id");
    dependencies_.registrar.handle_stop(*agent);
    return Json::Value(Json::objectValue);
}

control_service::result control_service::block_fingerprint(Json::Value const& params)
{
    context_.suspects.block(params["fingerprint"].asString());
    return Json::Value(Json::objectValue);
}

control_service::result control_service::clear_fingerprint(Json::Value const& params)
{
    context_.suspects.clear(params["fingerprint"].asString(), parse_crash_set(params["crashes"]));
    return Json::Value(Json::objectValue);
}

} // namespace almondcart
