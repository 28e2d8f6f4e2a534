#include "status_report.hpp"

#include <utility>

namespace almondcart {

status_report::status_report(
    router_context const& context,
    agent_directory const& agents,
    grant_recovery const& recovery,
    sources sources)
    : context_(context)
    , agents_(agents)
    , recovery_(recovery)
    , sources_(std::move(sources))
{}

Json::Value status_report::to_json() const
{
    Json::Value value(Json::objectValue);
    value["process"] = to_text(context_.self);
    value["role"] = "router";
    value["availability_zone"] = sources_.availability_zone;
    value["ready"] = sources_.is_ready();
    value["log_available"] = sources_.is_log_available();
    value["config_offset"] = Json::Int64(context_.state.configuration().offset());
    value["in_flight"] = static_cast<Json::UInt64>(sources_.in_flight());
    value["documents"] = documents();
    value["peers"] = peers();
    value["agents"] = agents();
    value["budgets"] = budgets();
    value["recoveries"] = recoveries();
    return value;
}

Json::Value status_report::documents() const
{
    Json::Value array(Json::arrayValue);
    for (auto const& [service, published] : context_.state.configuration().documents())
    {
        Json::Value item(Json::objectValue);
        item["service"] = service;
        item["version"] = Json::Int64(published.version);
        item["offset"] = Json::Int64(published.offset);
        item["author"] = published.author;
        array.append(item);
    }
    return array;
}

Json::Value status_report::peers() const
{
    Json::Value array(Json::arrayValue);
    for (auto const& peer : context_.members.live_peers())
    {
        Json::Value item(Json::objectValue);
        item["process"] = to_text(peer);
        auto const* address = context_.members.find_peer_address(peer);
        item["address"] = address == nullptr ? "" : *address;
        array.append(item);
    }
    return array;
}

Json::Value status_report::agents() const
{
    Json::Value array(Json::arrayValue);
    for (auto const& [upstream, heartbeat] : agents_.heartbeats())
    {
        Json::Value item(Json::objectValue);
        item["process"] = to_text(heartbeat.agent);
        item["upstream"] = upstream;
        item["address"] = heartbeat.address;
        item["state"] = std::string(name_of(context_.members.state_of(upstream)));
        item["config_offset"] = Json::Int64(heartbeat.config_offset);
        item["running"] = heartbeat.running;
        item["free_slots"] = heartbeat.free_slots;
        array.append(item);
    }
    return array;
}

Json::Value status_report::budgets() const
{
    Json::Value array(Json::arrayValue);
    for (int n = 0; n < budget_shard_count; ++n)
    {
        for (auto const& [id, entry] : context_.state.shard(n).budgets())
            array.append(budget(entry));
    }
    return array;
}

Json::Value status_report::budget(budget_entry const& entry) const
{
    Json::Value item(Json::objectValue);
    item["budget"] = to_text(entry.id);
    item["preference"] = std::string(name_of(entry.preference));
    item["total"] = Json::Int64(entry.total);
    item["billed"] = Json::Int64(entry.billed);
    item["charged"] = Json::Int64(entry.charged);
    item["unallocated"] = Json::Int64(entry.unallocated());
    token_count reserved = 0;
    token_count pending = 0;
    token_count free = 0;
    if (auto const* account = context_.holder.find_account(entry.id))
    {
        free = account->free();
        for (auto const& [grant, part] : account->grants())
        {
            reserved += part.reserved;
            pending += part.pending;
        }
    }
    item["free_here"] = Json::Int64(free);
    item["reserved_here"] = Json::Int64(reserved);
    item["pending_here"] = Json::Int64(pending);
    return item;
}

Json::Value status_report::recoveries() const
{
    Json::Value array(Json::arrayValue);
    for (auto const& it : recovery_.pending_recoveries())
    {
        Json::Value item(Json::objectValue);
        item["grant"] = to_text(it.grant);
        item["budget"] = to_text(it.budget);
        item["holder"] = to_text(it.holder);
        item["stranded_tokens"] = Json::Int64(it.unbilled);
        item["unreachable_agents"] = Json::Value(Json::arrayValue);
        for (auto const& agent : it.unreachable)
            item["unreachable_agents"].append(to_text(agent));
        array.append(item);
    }
    return array;
}

} // namespace almondcart
